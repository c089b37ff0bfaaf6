#include "load/memoryplatform.h"

#include <asio/experimental/as_tuple.hpp>
#include <asio/use_awaitable.hpp>

#include <utility>

namespace Samphirepitch
{

namespace
{

/** Adds the timer of a waiting watch to a list, and removes it on destruction, also if the watch is cancelled. */
class WatchTimer
{
public:
    WatchTimer(std::list<asio::steady_timer> &list, const asio::any_io_executor &executor, std::chrono::nanoseconds time)
        : m_list(list)
        , m_position(list.emplace(list.end(), executor, time))
    {
    }

    WatchTimer(const WatchTimer &) = delete;
    WatchTimer &operator=(const WatchTimer &) = delete;

    ~WatchTimer()
    {
        m_list.erase(m_position);
    }

    asio::steady_timer &timer()
    {
        return *m_position;
    }

private:
    std::list<asio::steady_timer> &m_list;
    std::list<asio::steady_timer>::iterator m_position;
};

} // namespace

MemoryPlatform::MemoryPlatform(const asio::any_io_executor &executor, const Clock &clock)
    : m_executor(executor)
    , m_clock(clock)
{
}

asio::awaitable<Result<PlatformObject>> MemoryPlatform::read(std::string key, TimePoint)
{
    if (const Result<void> started = beginCall(Call::Read); !started) {
        co_return tl::unexpected<Error>(started.error());
    }
    const PlatformObject *found = object(key);
    if (!found) {
        co_return failure(ErrorKind::NotFound, key, "no such object");
    }
    co_return *found;
}

asio::awaitable<Result<std::uint64_t>> MemoryPlatform::write(std::string key, std::string body, std::uint64_t expectedVersion, TimePoint)
{
    if (const Result<void> started = beginCall(Call::Write); !started) {
        co_return tl::unexpected<Error>(started.error());
    }
    const PlatformObject *found = object(key);
    if ((found ? found->version : mustNotExist) != expectedVersion) {
        co_return failure(ErrorKind::VersionConflict, key, "the object has another version");
    }
    store(key, std::move(body));
    co_return m_lastVersion;
}

asio::awaitable<Result<PlatformObject>> MemoryPlatform::watch(std::string key, std::uint64_t knownVersion, TimePoint deadline)
{
    Result<void> status = beginCall(Call::Watch);
    while (status) {
        const PlatformObject *found = object(key);
        if (found && found->version != knownVersion) {
            co_return *found;
        }
        const TimePoint now = m_clock.now();
        if (now >= deadline) {
            co_return failure(ErrorKind::DeadlineExceeded, key, "unchanged");
        }
        {
            WatchTimer entry(m_watchTimers, m_executor, deadline - now);
            co_await entry.timer().async_wait(asio::experimental::as_tuple(asio::use_awaitable));
        }
        if (m_outage) {
            status = failure(ErrorKind::Unavailable, "platform", "outage");
        }
    }
    co_return tl::unexpected<Error>(status.error());
}

asio::awaitable<Result<std::vector<PlatformObject>>> MemoryPlatform::list(std::string prefix, TimePoint)
{
    if (const Result<void> started = beginCall(Call::List); !started) {
        co_return tl::unexpected<Error>(started.error());
    }
    std::vector<PlatformObject> found;
    for (const auto &[key, object] : m_objects) {
        if (key.starts_with(prefix)) {
            found.push_back(object);
        }
    }
    co_return found;
}

asio::awaitable<Result<std::vector<ListedInstance>>> MemoryPlatform::instances(TimePoint)
{
    if (const Result<void> started = beginCall(Call::Instances); !started) {
        co_return tl::unexpected<Error>(started.error());
    }
    co_return m_instances;
}

void MemoryPlatform::store(const std::string &key, std::string body)
{
    m_objects.insert_or_assign(key, PlatformObject { key, std::move(body), ++m_lastVersion });
    wakeWatches();
}

const PlatformObject *MemoryPlatform::object(const std::string &key) const
{
    const auto found = m_objects.find(key);
    return found == m_objects.end() ? nullptr : &found->second;
}

std::map<std::string, PlatformObject> MemoryPlatform::objects() const
{
    return m_objects;
}

void MemoryPlatform::restore(std::map<std::string, PlatformObject> objects)
{
    m_objects = std::move(objects);
    wakeWatches();
}

void MemoryPlatform::setInstances(std::vector<ListedInstance> instances)
{
    m_instances = std::move(instances);
}

void MemoryPlatform::setOutage(bool outage)
{
    m_outage = outage;
    wakeWatches();
}

std::uint64_t MemoryPlatform::callCount(Call call) const
{
    return m_calls[static_cast<std::size_t>(call)];
}

std::size_t MemoryPlatform::waitingWatchCount() const
{
    return m_watchTimers.size();
}

void MemoryPlatform::wakeWatches()
{
    for (asio::steady_timer &timer : m_watchTimers) {
        timer.cancel();
    }
}

Result<void> MemoryPlatform::beginCall(Call call)
{
    ++m_calls[static_cast<std::size_t>(call)];
    if (m_outage) {
        return failure(ErrorKind::Unavailable, "platform", "outage");
    }
    return {};
}

} // namespace Samphirepitch
