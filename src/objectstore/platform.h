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

/** An object stored on the platform. */
struct PlatformObject {
    std::string key; /**< 1..200 bytes of a-z, 0-9, '-', '.', '/' */
    std::string body; /**< at most 1 MB */
    std::uint64_t version = 0; /**< increases with each write of the object; at least 1 */

    friend bool operator==(const PlatformObject &, const PlatformObject &) = default;
};

/** An entry of the platform's list of instances, which is eventually consistent. */
struct ListedInstance {
    std::string id;
    std::string failureDomain;
    Endpoint peerAddress;
    Endpoint dataAddress;
    bool leaving = false; /**< whether the platform is about to remove the instance */

    friend bool operator==(const ListedInstance &, const ListedInstance &) = default;
};

/**
 * Interface of the platform's object API.
 *
 * Besides the errors named below, each call may fail with Unavailable, RateLimited or DeadlineExceeded, all of which mean that it
 * had no effect; with InvalidArgument if a key or prefix is not valid; and with Malformed or TooLarge if the response is not valid
 * or too large.
 */
class Platform
{
public:
    static constexpr std::uint64_t mustNotExist = 0; /**< expected version for creating an object */

    virtual ~Platform() = default;

    /** Must read an object. @return the object; NotFound if it does not exist */
    virtual asio::awaitable<Result<PlatformObject>> read(std::string key, TimePoint deadline) = 0;

    /**
     * Must write an object, atomically and only if its version equals @p expectedVersion.
     * @param key key of the object
     * @param body new content, at most 1 MB
     * @param expectedVersion current version of the object; mustNotExist to create it
     * @param deadline when to give up
     * @return the new version; VersionConflict if the version differs; TooLarge if the body is too large; OutcomeUnknown if the
     *  request was sent and no valid response was received, so that the write may have taken effect
     */
    virtual asio::awaitable<Result<std::uint64_t>> write(
        std::string key, std::string body, std::uint64_t expectedVersion, TimePoint deadline)
        = 0;

    /**
     * Must wait until the version of an object differs from @p knownVersion, which is mustNotExist for a missing object.
     * @return the object; NotFound if it no longer exists; DeadlineExceeded if it did not change before @p deadline
     */
    virtual asio::awaitable<Result<PlatformObject>> watch(std::string key, std::uint64_t knownVersion, TimePoint deadline) = 0;

    /** Must read all objects whose key starts with @p prefix, sorted by key. */
    virtual asio::awaitable<Result<std::vector<PlatformObject>>> list(std::string prefix, TimePoint deadline) = 0;

    /** Must read the list of running and leaving instances. The list is eventually consistent: it may lag behind. */
    virtual asio::awaitable<Result<std::vector<ListedInstance>>> instances(TimePoint deadline) = 0;
};

} // namespace Samphirepitch
