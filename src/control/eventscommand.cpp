#include "control/eventscommand.h"

#include "control/instanceapi.h"
#include "control/internal/commandhelpers.h"
#include "control/internal/instancelookup.h"
#include "control/renderer.h"

#include <algorithm>
#include <tuple>

namespace Samphirepitch
{

namespace
{

// An instance that does not respond must not use up the time for the other instances.
constexpr std::chrono::seconds requestTimeout { 2 };

// Ends the loop if an instance records events faster than they are read. More pages are not needed otherwise, since an instance
// keeps a bounded number of events.
constexpr int maxPages = 64;

bool isBefore(const Event &left, const Event &right)
{
    return std::tie(left.at, left.instance, left.sequence) < std::tie(right.at, right.instance, right.sequence);
}

asio::awaitable<Result<std::vector<Event>>> readEvents(CommandContext &context, Endpoint address)
{
    std::vector<Event> events;
    for (int page = 0; page < maxPages; ++page) {
        const std::uint64_t after = events.empty() ? 0 : events.back().sequence;
        const TimePoint deadline = std::min<TimePoint>(context.deadline, context.clock.now() + requestTimeout);
        const auto reply = co_await context.instances.events(address, after, deadline);
        if (!reply) {
            co_return tl::unexpected(reply.error());
        }
        if (reply->events.empty() || reply->events.back().sequence <= after) {
            break;
        }
        events.insert(events.end(), reply->events.begin(), reply->events.end());
    }
    co_return events;
}

} // namespace

std::string_view EventsCommand::name() const
{
    return "events";
}

std::string_view EventsCommand::arguments() const
{
    return "[ID|IP:PORT]... --deployment NAME [--count N]";
}

std::string_view EventsCommand::summary() const
{
    return "shows the events of instances, merged in causal order";
}

asio::awaitable<CommandExit> EventsCommand::run(CommandContext &context, std::vector<std::string> operands)
{
    if (context.options.deployment.empty()) {
        co_return reportUsage(context, name(), "requires the name of the deployment (--deployment)");
    }
    const auto instances = co_await findInstances(context, operands);
    if (!instances) {
        co_return reportError(context, instances.error());
    }
    std::vector<Event> merged;
    std::vector<Error> unreachable;
    for (const TargetInstance &instance : *instances) {
        auto events = co_await readEvents(context, instance.address);
        if (events) {
            merged.insert(merged.end(), events->begin(), events->end());
        } else {
            unreachable.emplace_back(events.error().kind(), "instance " + instance.id, events.error().detail());
        }
    }
    std::sort(merged.begin(), merged.end(), isBefore);
    if (merged.size() > context.options.count) {
        merged.erase(merged.begin(), merged.end() - static_cast<std::ptrdiff_t>(context.options.count));
    }
    context.renderer.events(merged, unreachable);
    co_return unreachable.empty() ? CommandExit::Ok : exitCodeOf(unreachable.front());
}

} // namespace Samphirepitch
