#pragma once

#include "core/clock.h"
#include "core/random.h"
#include "model/configgeneration.h"
#include "model/configset.h"
#include "model/headrecord.h"
#include "model/partmap.h"
#include "objectstore/platform.h"
#include "objectstore/timer.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Samphirepitch
{

/** The platform object "head" and its version. */
struct VersionedHead {
    HeadPointer pointer;
    std::uint64_t version = Platform::mustNotExist; /**< mustNotExist if there is no head yet */

    friend bool operator==(const VersionedHead &, const VersionedHead &) = default;
};

/** Reads generations from the platform. Every call retries with backoff until its deadline and verifies parts by their hash. */
class ConfigLoader
{
public:
    /** All arguments outlive the object. */
    ConfigLoader(Platform &platform, const Clock &clock, Timer &timer, RandomSource &random);

    /** Returns the platform key of the part @p name. */
    static std::string partKey(const ContentName &name);

    /** Reads the head; its version is mustNotExist and its generation 0 if nothing was ever accepted. */
    asio::awaitable<Result<VersionedHead>> readHead(TimePoint deadline);

    /** Reads a part. @return NotFound, or Malformed if the content does not match the name */
    asio::awaitable<Result<std::string>> readPart(ContentName name, TimePoint deadline);

    /** Reads a head record. */
    asio::awaitable<Result<HeadRecord>> readRecord(ContentName name, TimePoint deadline);

    /** Reads all parts of a generation. */
    asio::awaitable<Result<ConfigSet>> readSet(HeadRecord head, TimePoint deadline);

    /** Reads the current generation; an empty set with generation 0 if nothing was ever accepted. */
    asio::awaitable<Result<ConfigGeneration>> readCurrent(TimePoint deadline);

    /**
     * Follows the previous records from @p head to the record of @p generation.
     * @return NotFound if @p head is older than @p generation or the chain ends before it
     */
    asio::awaitable<Result<HeadRecord>> findRecord(HeadPointer head, std::uint64_t generation, TimePoint deadline);

    /** Returns the newest @p count records, newest first. */
    asio::awaitable<Result<std::vector<HeadRecord>>> history(std::size_t count, TimePoint deadline);

    /** Returns the record that carries @p changeId. @return NotFound if no accepted change has it */
    asio::awaitable<Result<HeadRecord>> findChange(std::string changeId, TimePoint deadline);

private:
    /** Parts of one call that are still to be read, shared by its readers. */
    struct PartQueue {
        std::vector<ContentName> names;
        std::size_t next = 0;
        PartMap parts;
        std::optional<Error> error;
    };

    asio::awaitable<void> readParts(PartQueue &queue, TimePoint deadline);
    asio::awaitable<Result<PlatformObject>> readObject(std::string key, TimePoint deadline);

    Platform &m_platform;
    const Clock &m_clock;
    Timer &m_timer;
    RandomSource &m_random;
};

} // namespace Samphirepitch
