#pragma once

#include "core/clock.h"
#include "core/endpoint.h"
#include "core/error.h"

#include <asio/awaitable.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace Samphirepitch
{

/** One object of the platform's object API. */
struct PlatformObject {
    std::string key; /**< 1..200 bytes of a-z, 0-9, '-', '.', '/' */
    std::string body; /**< at most 1 MB */
    std::uint64_t version = 0; /**< rises with each write of the object; at least 1 */

    friend bool operator==(const PlatformObject &, const PlatformObject &) = default;
};

/** One entry of the platform's lagging list of instances. */
struct ListedInstance {
    std::string id;
    std::string failureDomain;
    Endpoint peerAddress;
    Endpoint dataAddress;
    bool leaving = false; /**< the platform is about to take the instance away */

    friend bool operator==(const ListedInstance &, const ListedInstance &) = default;
};

/**
 * The platform's object API. Every call may fail with Unavailable or RateLimited (no effect), DeadlineExceeded (no effect),
 * or, for writes, OutcomeUnknown (the request was sent and no answer came).
 */
class Platform
{
public:
    static constexpr std::uint64_t mustNotExist = 0; /**< expected version of an object that is to be created */

    virtual ~Platform() = default;

    /** Reads an object. @return the object, or NotFound */
    virtual asio::awaitable<Result<PlatformObject>> read(std::string key, TimePoint deadline) = 0;

    /**
     * Writes an object if its version is still @p expectedVersion.
     * @return the new version, VersionConflict, TooLarge, or OutcomeUnknown
     */
    virtual asio::awaitable<Result<std::uint64_t>> write(
        std::string key, std::string body, std::uint64_t expectedVersion, TimePoint deadline)
        = 0;

    /**
     * Waits until an object has a version other than @p knownVersion.
     * @return the object, or DeadlineExceeded if it did not change
     */
    virtual asio::awaitable<Result<PlatformObject>> watch(std::string key, std::uint64_t knownVersion, TimePoint deadline) = 0;

    /** Reads all objects whose key starts with @p prefix, sorted by key. */
    virtual asio::awaitable<Result<std::vector<PlatformObject>>> list(std::string prefix, TimePoint deadline) = 0;

    /** Reads the lagging list of live and leaving instances. */
    virtual asio::awaitable<Result<std::vector<ListedInstance>>> instances(TimePoint deadline) = 0;
};

} // namespace Samphirepitch
