#include "control/statusreader.h"

#include "control/instanceapi.h"
#include "objectstore/retry.h"
#include "objectstore/timer.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace Samphirepitch
{

namespace
{

// Two reads at each poll make eight reads a second, far below the 2,000 that the platform sustains. The interval is short compared
// with 7 s, the target for a change to be seen in force everywhere.
constexpr std::chrono::milliseconds pollInterval { 250 };

constexpr std::string_view statusPrefix = "status/";

} // namespace

StatusReader::StatusReader(CommandContext &context)
    : m_context(context)
{
}

asio::awaitable<Result<StatusSummary>> StatusReader::read(std::uint64_t generation)
{
    Platform &platform = *m_context.platform;
    const RetrySchedule schedule(m_context.clock, m_context.timer, m_context.random, m_context.deadline);
    const auto readList = [&platform](TimePoint deadline) { return platform.instances(deadline); };
    auto listed = co_await retryRead(readList, schedule);
    if (!listed) {
        co_return tl::unexpected(listed.error());
    }
    const auto readObjects = [&platform](TimePoint deadline) { return platform.list(std::string(statusPrefix), deadline); };
    const auto objects = co_await retryRead(readObjects, schedule);
    if (!objects) {
        co_return tl::unexpected(objects.error());
    }
    std::vector<DomainStatus> domains;
    std::vector<Error> unreadable;
    for (const PlatformObject &object : *objects) {
        auto status = DomainStatus::decode(object.body);
        if (status) {
            domains.push_back(std::move(*status));
        } else {
            unreadable.emplace_back(status.error().kind(), object.key, status.error().detail());
        }
    }
    co_return StatusSummary(generation, std::move(*listed), std::move(domains), std::move(unreadable));
}

asio::awaitable<Result<StatusSummary>> StatusReader::readFromInstance(Endpoint instance)
{
    auto reply = co_await m_context.instances.status(instance, m_context.deadline);
    if (!reply) {
        co_return tl::unexpected(reply.error());
    }
    std::uint64_t generation = 0;
    for (const DomainStatus &domain : reply->statuses) {
        generation = std::max(generation, domain.highestHeld);
    }
    co_return StatusSummary(generation, {}, std::move(reply->statuses), {});
}

asio::awaitable<Result<StatusSummary>> StatusReader::waitUntilInForce(std::uint64_t generation)
{
    auto last = co_await read(generation);
    while (last && !last->inForceEverywhere() && m_context.clock.now() + pollInterval < m_context.deadline) {
        co_await m_context.timer.waitUntil(m_context.clock.now() + pollInterval);
        auto next = co_await read(generation);
        if (next) {
            last = std::move(next);
        }
    }
    co_return last;
}

} // namespace Samphirepitch
