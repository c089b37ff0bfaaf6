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
 * The task that watches the platform object "head" while the instance has that duty: reads newer generations, and writes the
 * held one back if the platform was restored from an older copy.
 */
class HeadWatcher
{
public:
    static constexpr std::chrono::milliseconds watchTimeout { 5000 }; /**< of one waiting call; its end is a sign of contact */
    /** A read that lags must not look like a restored copy, and the watchers of all failure domains must not write at once. */
    static constexpr std::chrono::milliseconds minRestoreDelay { 1000 };
    static constexpr std::chrono::milliseconds restoreJitter { 4000 };
    static constexpr std::chrono::milliseconds restoreWriteInterval { 20 }; /**< between two writes: at most 50 a second and watcher */

    HeadWatcher(const PlatformContext &context, ConfigDistributor &distributor, ConfigStore &store);

    /** Runs until it is cancelled. */
    asio::awaitable<void> run();

    /** Number of generations that were written back. */
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
    std::uint64_t m_handledVersion = 0; // version of "head" that was handled; 0 reads instead of watching
    std::uint64_t m_restoredCount = 0;
};

} // namespace Samphirepitch
