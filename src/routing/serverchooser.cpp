#include "routing/serverchooser.h"

#include "core/hash.h"
#include "core/random.h"
#include "routing/localfirstchooser.h"

#include <algorithm>

namespace Samphirepitch
{

namespace
{

using Candidates = std::span<const ServerCandidate>;

class RandomChooser : public ServerChooser
{
public:
    ServerIndex choose(Candidates candidates, std::uint64_t, RandomSource &random) override
    {
        return candidates.empty() ? noServer : candidates[random.below(candidates.size())].server;
    }
};

class RoundRobinChooser : public ServerChooser
{
public:
    ServerIndex choose(Candidates candidates, std::uint64_t, RandomSource &) override
    {
        return candidates.empty() ? noServer : candidates[m_next++ % candidates.size()].server;
    }

private:
    std::size_t m_next = 0;
};

class LeastInFlightChooser : public ServerChooser
{
public:
    ServerIndex choose(Candidates candidates, std::uint64_t, RandomSource &) override
    {
        const auto least = std::min_element(candidates.begin(), candidates.end(),
            [](const ServerCandidate &left, const ServerCandidate &right) { return left.inFlight < right.inFlight; });
        return least == candidates.end() ? noServer : least->server;
    }
};

class TwoChoicesChooser : public ServerChooser
{
public:
    ServerIndex choose(Candidates candidates, std::uint64_t, RandomSource &random) override
    {
        if (candidates.empty()) {
            return noServer;
        }
        const ServerCandidate &first = candidates[random.below(candidates.size())];
        const ServerCandidate &second = candidates[random.below(candidates.size())];
        return second.inFlight < first.inFlight ? second.server : first.server;
    }
};

class ConsistentHashChooser : public ServerChooser
{
public:
    ServerIndex choose(Candidates candidates, std::uint64_t key, RandomSource &) override
    {
        const auto best
            = std::max_element(candidates.begin(), candidates.end(), [key](const ServerCandidate &left, const ServerCandidate &right) {
                  return mix64(left.nameHash, key) < mix64(right.nameHash, key);
              });
        return best == candidates.end() ? noServer : best->server;
    }
};

} // namespace

std::unique_ptr<ServerChooser> ServerChooser::create(ChooserKind kind)
{
    switch (kind) {
    case ChooserKind::Random:
        return std::make_unique<RandomChooser>();
    case ChooserKind::RoundRobin:
        return std::make_unique<RoundRobinChooser>();
    case ChooserKind::LeastInFlight:
        return std::make_unique<LeastInFlightChooser>();
    case ChooserKind::TwoChoices:
        return std::make_unique<TwoChoicesChooser>();
    case ChooserKind::ConsistentHash:
        return std::make_unique<ConsistentHashChooser>();
    case ChooserKind::LocalFirst:
        break;
    }
    return std::make_unique<LocalFirstChooser>();
}

} // namespace Samphirepitch
