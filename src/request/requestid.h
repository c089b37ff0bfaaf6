#pragma once

#include "core/endpoint.h"

#include <cstddef>
#include <cstdint>

namespace Samphirepitch
{

/** Identifies a request of a caller to a service. */
struct RequestId {
    Endpoint caller; /**< address of the caller */
    Endpoint service; /**< address of the service */
    std::uint32_t id = 0; /**< chosen by the caller */

    /** Returns a hash of all fields, which is the same on every instance and never 0. */
    std::uint64_t key() const;

    friend bool operator==(const RequestId &, const RequestId &) = default;
};

/** Hash function of request ids for unordered containers. */
struct RequestIdHash {
    std::size_t operator()(const RequestId &request) const;
};

} // namespace Samphirepitch
