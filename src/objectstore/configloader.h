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

/** The content and the version of the platform object "head". */
struct VersionedHead {
    HeadPointer pointer;
    std::uint64_t version = Platform::mustNotExist; /**< version of the object; mustNotExist if it does not exist yet */

    friend bool operator==(const VersionedHead &, const VersionedHead &) = default;
};

/**
 * Reads configuration generations from the platform.
 *
 * All calls retry with exponential backoff until their deadline and verify each part by its hash. They fail with the errors of
 * Platform::read(), with Malformed if a part does not match its name or does not follow its format, and with TooLarge if a
 * length or count in it is above its limit.
 */
class ConfigLoader
{
public:
    /** All arguments must outlive the loader. */
    ConfigLoader(Platform &platform, const Clock &clock, Timer &timer, RandomSource &random);

    /** Returns the key of the platform object that holds the part @p name. */
    static std::string partKey(const ContentName &name);

    /** Reads the object "head". If it does not exist, the version is mustNotExist and the generation is 0. */
    asio::awaitable<Result<VersionedHead>> readHead(TimePoint deadline);

    /** Reads a part. @return its content; NotFound if it does not exist; Malformed if its content does not match @p name */
    asio::awaitable<Result<std::string>> readPart(ContentName name, TimePoint deadline);

    /** Reads a head record. @return the record; NotFound if the part does not exist */
    asio::awaitable<Result<HeadRecord>> readRecord(ContentName name, TimePoint deadline);

    /** Reads all parts of the generation described by @p head. @return its objects; NotFound if a part does not exist */
    asio::awaitable<Result<ConfigSet>> readSet(HeadRecord head, TimePoint deadline);

    /** Reads the newest generation. @return the generation; generation 0 with an empty set if none has been published */
    asio::awaitable<Result<ConfigGeneration>> readCurrent(TimePoint deadline);

    /**
     * Finds the record of an earlier generation by following the chain of previous records.
     * @param head where the chain starts
     * @param generation number of the generation
     * @param deadline when to give up
     * @return the record; NotFound if @p generation is newer than @p head or not in the chain
     */
    asio::awaitable<Result<HeadRecord>> findRecord(HeadPointer head, std::uint64_t generation, TimePoint deadline);

    /** Returns up to @p count head records, newest first. */
    asio::awaitable<Result<std::vector<HeadRecord>>> history(std::size_t count, TimePoint deadline);

    /** Returns the head record with the given change id. @return the record; NotFound if no accepted change has this id */
    asio::awaitable<Result<HeadRecord>> findChange(std::string changeId, TimePoint deadline);

private:
    /** The parts to read in one call; shared by the concurrent readers of the call. */
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
