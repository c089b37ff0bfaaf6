#pragma once

#include "objectstore/platform.h"

#include <asio/any_io_executor.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <list>
#include <map>
#include <string>
#include <vector>

namespace Samphirepitch
{

/** A platform that keeps its objects in memory, for measurements and tests that need no network. Not thread-safe. */
class MemoryPlatform : public Platform
{
public:
    /** The kinds of calls, which are counted separately. */
    enum class Call {
        Read,
        Write,
        Watch,
        List,
        Instances,
    };

    /**
     * @param executor runs the timers of waiting watches
     * @param clock clock of the deadlines; outlives the platform
     */
    MemoryPlatform(const asio::any_io_executor &executor, const Clock &clock);

    asio::awaitable<Result<PlatformObject>> read(std::string key, TimePoint deadline) override;
    asio::awaitable<Result<std::uint64_t>> write(
        std::string key, std::string body, std::uint64_t expectedVersion, TimePoint deadline) override;
    asio::awaitable<Result<PlatformObject>> watch(std::string key, std::uint64_t knownVersion, TimePoint deadline) override;
    asio::awaitable<Result<std::vector<PlatformObject>>> list(std::string prefix, TimePoint deadline) override;
    asio::awaitable<Result<std::vector<ListedInstance>>> instances(TimePoint deadline) override;

    /** Stores an object without a version check. */
    void store(const std::string &key, std::string body);

    /** Returns the object, or a null pointer if there is none. */
    const PlatformObject *object(const std::string &key) const;

    /** Returns a copy of all objects, for restore(). */
    std::map<std::string, PlatformObject> objects() const;

    /** Replaces all objects, as a restore of the platform from a backup does. */
    void restore(std::map<std::string, PlatformObject> objects);

    /** Sets the instance list. */
    void setInstances(std::vector<ListedInstance> instances);

    /** Starts or ends an outage, during which all calls and waiting watches fail with Unavailable. */
    void setOutage(bool outage);

    /** Returns the number of calls so far. */
    std::uint64_t callCount(Call call) const;

    /** Returns the number of watches that wait for a change. */
    std::size_t waitingWatchCount() const;

private:
    void wakeWatches();
    Result<void> beginCall(Call call);

    asio::any_io_executor m_executor;
    const Clock &m_clock;
    std::map<std::string, PlatformObject> m_objects;
    std::uint64_t m_lastVersion = 0; // all objects share one sequence, so that a write after a restore gets a new version
    std::vector<ListedInstance> m_instances;
    std::list<asio::steady_timer> m_watchTimers;
    std::array<std::uint64_t, 5> m_calls {};
    bool m_outage = false;
};

} // namespace Samphirepitch
