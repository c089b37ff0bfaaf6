#include "routing/localfirstchooser.h"

#include "core/random.h"

#include <algorithm>
#include <optional>

namespace Samphirepitch
{

namespace
{

/** Returns the load of a server for each of its slots; 1 means that all slots are in use. */
double load(const ServerCandidate &candidate)
{
    return static_cast<double>(std::max(candidate.inFlight, candidate.reportedLoad)) / static_cast<double>(std::max(candidate.slots, 1U));
}

bool isFreeAndLocal(const ServerCandidate &candidate)
{
    return candidate.isLocal && load(candidate) < 1.0;
}

bool isFree(const ServerCandidate &candidate)
{
    return load(candidate) < 1.0;
}

bool isAny(const ServerCandidate &)
{
    return true;
}

using Filter = bool (*)(const ServerCandidate &);

/** Returns a random candidate that passes the filter, or null if none does. */
const ServerCandidate *randomCandidate(std::span<const ServerCandidate> candidates, Filter filter, RandomSource &random)
{
    const auto count = static_cast<std::uint64_t>(std::count_if(candidates.begin(), candidates.end(), filter));
    std::uint64_t left = count == 0 ? 0 : random.below(count);
    for (const ServerCandidate &candidate : candidates) {
        if (filter(candidate) && left-- == 0) {
            return &candidate;
        }
    }
    return nullptr;
}

} // namespace

ServerIndex LocalFirstChooser::choose(std::span<const ServerCandidate> candidates, std::uint64_t, RandomSource &random)
{
    for (const Filter filter : { isFreeAndLocal, isFree, isAny }) {
        const ServerCandidate *first = randomCandidate(candidates, filter, random);
        if (!first) {
            continue;
        }
        const ServerCandidate *second = randomCandidate(candidates, filter, random);
        return load(*second) < load(*first) ? second->server : first->server;
    }
    return noServer;
}

} // namespace Samphirepitch
