#pragma once

#include "core/endpoint.h"

#include <cstddef>
#include <cstdint>

namespace Samphirepitch
{

/** Names one request of one caller to one service. */
struct RequestId {
    Endpoint caller;
    Endpoint service; /**< address of the service */
    std::uint32_t id = 0; /**< chosen by the caller */

    /** Returns the same well mixed key on every instance; never 0. */
    std::uint64_t key() const;

    friend bool operator==(const RequestId &, const RequestId &) = default;
};

/** Hashes request ids for unordered containers. */
struct RequestIdHash {
    std::size_t operator()(const RequestId &request) const;
};

} // namespace Samphirepitch
