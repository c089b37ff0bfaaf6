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
        current = change.previous.get();
    }
    return current->server(key);
}

std::optional<BucketMove> RoutedService::lastBucketMove(std::uint64_t key, std::uint64_t generation, TimePoint now) const
{
    const Placement *after = placement.get();
    for (const PlacementChange &change : changes) {
        const ServerIndex previousServer = change.previous->server(key);
        if (previousServer != after->server(key) && previousServer != noServer && change.generation <= generation
            && now < change.deadline) {
            return BucketMove { change.generation, previousServer, after->bucket(key), change.deadline };
        }
        after = change.previous.get();
    }
    return std::nullopt;
}

} // namespace Samphirepitch
