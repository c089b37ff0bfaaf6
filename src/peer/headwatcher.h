#pragma once

#include "model/headrecord.h"
#include "objectstore/platform.h"
#include "peer/exponentialbackoff.h"
#include "peer/platformcontext.h"

#include <asio/awaitable.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace Samphirepitch
{

class ConfigStore;
class ConfigDistributor;

/**
 * Task that watches the platform object "head" while this instance is responsible for it. Reads newer generations, and writes the
 * held generation back if the platform was restored from an older copy.
 */
class HeadWatcher
{
public:
    static constexpr std::chrono::milliseconds watchTimeout { 5000 }; /**< of one watch call; its expiry counts as platform contact */
    /** Delay before the check that precedes a restore: a stale read must not look like a restored older copy. */
    static constexpr std::chrono::milliseconds minRestoreDelay { 1000 };
    /** Upper bound of a random extra delay, which keeps the watchers of all failure domains from writing at once. */
    static constexpr std::chrono::milliseconds restoreJitter { 4000 };
    /** Time between two writes of a restore, which limits each watcher to 50 writes per second. */
    static constexpr std::chrono::milliseconds restoreWriteInterval { 20 };

    /**
     * All arguments must outlive the task.
     * @param context objects shared by the tasks that call the platform
     * @param distributor adopts the generations that are read
     * @param store stores their parts
     */
    HeadWatcher(const PlatformContext &context, ConfigDistributor &distributor, ConfigStore &store);

    /** Runs until it is cancelled. */
    asio::awaitable<void> run();

    /** Returns the number of generations that were written back to the platform. */
    std::uint64_t restoredCount() const;

private:
    asio::awaitable<Result<PlatformObject>> nextHead();
    asio::awaitable<void> handleHead(PlatformObject object);
    asio::awaitable<bool> pullGeneration(HeadPointer head);
    asio::awaitable<Result<void>> pullPart(ContentName name);
    asio::awaitable<void> restorePlatform();
    asio::awaitable<bool> writeParts(HeadPointer platformHead);
    asio::awaitable<std::optional<HeadRecord>> platformRecord(HeadPointer head);
    std::vector<ContentName> partsToWrite(const std::optional<HeadRecord> &platformRecord) const;
    asio::awaitable<void> pause(std::chrono::milliseconds time);
    TimePoint callDeadline() const;
    void reportAnswer();

    PlatformContext m_context;
    ConfigDistributor &m_distributor;
    ConfigStore &m_store;
    ExponentialBackoff m_backoff;
    std::uint64_t m_handledVersion = 0; // last handled version of "head"; 0 means that the next call reads instead of watching
    std::uint64_t m_restoredCount = 0;
};

} // namespace Samphirepitch
