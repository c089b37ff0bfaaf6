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

Result<AskedInstance> findInstance(const std::string &word, const std::vector<ListedInstance> &listed)
{
    if (const auto address = Endpoint::parse(word)) {
        return AskedInstance { word, *address };
    }
    const auto found = std::find_if(listed.begin(), listed.end(), [&word](const ListedInstance &instance) { return instance.id == word; });
    if (found == listed.end()) {
        return failure(ErrorKind::NotFound, "instance " + word, "the platform's list has no such instance");
    }
    return AskedInstance { word, found->peerAddress };
}

} // namespace

asio::awaitable<Result<std::vector<AskedInstance>>> findInstances(CommandContext &context, std::vector<std::string> words)
{
    std::vector<ListedInstance> listed;
    const bool onlyAddresses = std::all_of(words.begin(), words.end(), [](const auto &word) { return Endpoint::parse(word).has_value(); });
    if (words.empty() || !onlyAddresses) {
        Platform &platform = *context.platform;
        const auto readList = [&platform](TimePoint deadline) { return platform.instances(deadline); };
        auto list = co_await retryRead(readList, RetrySchedule(context.clock, context.timer, context.random, context.deadline));
        if (!list) {
            co_return tl::unexpected(list.error());
        }
        listed = std::move(*list);
    }
    if (words.empty()) {
        std::transform(listed.begin(), listed.end(), std::back_inserter(words), [](const auto &instance) { return instance.id; });
    }
    std::vector<AskedInstance> instances;
    for (const std::string &word : words) {
        auto instance = findInstance(word, listed);
        if (!instance) {
            co_return tl::unexpected(instance.error());
        }
        instances.push_back(std::move(*instance));
    }
    co_return instances;
}

} // namespace Samphirepitch
