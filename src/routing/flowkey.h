#pragma once

#include "core/endpoint.h"

#include <cstdint>

namespace Samphirepitch
{

/**
 * Returns the key of the flow between a caller and a service address. The key is the same on every instance and never 0.
 *
 * The probability that any two of 300,000 flows share a key is about 3e-9.
 */
std::uint64_t flowKey(Endpoint caller, Endpoint service);

/** Returns the key of the request @p id of a caller to a service address. The key is the same on every instance and never 0. */
std::uint64_t requestKey(Endpoint caller, Endpoint service, std::uint32_t id);

} // namespace Samphirepitch
