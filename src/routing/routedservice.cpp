#include "routing/routedservice.h"

#include <algorithm>

namespace Samphirepitch
{

bool RoutedService::isIdempotent(std::string_view method) const
{
    const auto found = std::lower_bound(idempotentMethods.begin(), idempotentMethods.end(), method);
    return found != idempotentMethods.end() && *found == method;
}

ServerIndex RoutedService::serverAt(std::uint64_t key, std::uint64_t generation) const
{
    const Placement *current = placement.get();
    for (const PlacementChange &change : changes) {
        if (change.generation <= generation) {
            break;
        }
        current = change.before.get();
    }
    return current->server(key);
}

std::optional<FlowMove> RoutedService::lastMove(std::uint64_t key, std::uint64_t generation, TimePoint now) const
{
    const Placement *after = placement.get();
    for (const PlacementChange &change : changes) {
        const ServerIndex before = change.before->server(key);
        if (before != after->server(key) && before != noServer && change.generation <= generation && now < change.deadline) {
            return FlowMove { change.generation, before, after->bucket(key), change.deadline };
        }
        after = change.before.get();
    }
    return std::nullopt;
}

} // namespace Samphirepitch
