#include "control/internal/instancelookup.h"

#include "objectstore/platform.h"
#include "objectstore/retry.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Samphirepitch
{

namespace
{

Result<TargetInstance> findInstance(const std::string &operand, const std::vector<ListedInstance> &listed)
{
    if (const auto address = Endpoint::parse(operand)) {
        return TargetInstance { operand, *address };
    }
    const auto found
        = std::find_if(listed.begin(), listed.end(), [&operand](const ListedInstance &instance) { return instance.id == operand; });
    if (found == listed.end()) {
        return failure(ErrorKind::NotFound, "instance " + operand, "the platform's list has no such instance");
    }
    return TargetInstance { operand, found->peerAddress };
}

} // namespace

asio::awaitable<Result<std::vector<TargetInstance>>> findInstances(CommandContext &context, std::vector<std::string> operands)
{
    std::vector<ListedInstance> listed;
    const bool onlyAddresses
        = std::all_of(operands.begin(), operands.end(), [](const auto &operand) { return Endpoint::parse(operand).has_value(); });
    if (operands.empty() || !onlyAddresses) {
        Platform &platform = *context.platform;
        const auto readList = [&platform](TimePoint deadline) { return platform.instances(deadline); };
        auto list = co_await retryRead(readList, RetrySchedule(context.clock, context.timer, context.random, context.deadline));
        if (!list) {
            co_return tl::unexpected(list.error());
        }
        listed = std::move(*list);
    }
    if (operands.empty()) {
        std::transform(listed.begin(), listed.end(), std::back_inserter(operands), [](const auto &instance) { return instance.id; });
    }
    std::vector<TargetInstance> instances;
    for (const std::string &operand : operands) {
        auto instance = findInstance(operand, listed);
        if (!instance) {
            co_return tl::unexpected(instance.error());
        }
        instances.push_back(std::move(*instance));
    }
    co_return instances;
}

} // namespace Samphirepitch
