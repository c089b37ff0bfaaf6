#include "stream/leastflowsselector.h"

#include <algorithm>
#include <utility>

namespace Samphirepitch
{

namespace
{

double costOf(const StreamCandidate &candidate)
{
    // The new flow is counted, so that empty servers with more slots cost less.
    double cost = (candidate.flows + candidate.awaitingResponse + 1.0) / candidate.slots;
    // A cold start shows in the response times as well, so only the larger factor applies.
    cost *= std::max(candidate.slowdown * candidate.slowdown, candidate.cold ? LeastFlowsSelector::coldCostFactor : 1.0);
    return candidate.local ? cost : cost * LeastFlowsSelector::remoteCostFactor + LeastFlowsSelector::remoteCostOffset;
}

} // namespace

std::optional<std::size_t> LeastFlowsSelector::choose(const std::vector<StreamCandidate> &candidates, RandomSource &random) const
{
    std::optional<std::size_t> best;
    std::pair<bool, double> bestCost;
    std::uint64_t ties = 0;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const std::pair<bool, double> cost(candidates[index].lastResort, costOf(candidates[index]));
        if (best && cost > bestCost) {
            continue;
        }
        ties = best && cost == bestCost ? ties + 1 : 1;
        // Reservoir sampling chooses among equally good servers with the same probability.
        if (ties == 1 || random.below(ties) == 0) {
            best = index;
            bestCost = cost;
        }
    }
    return best;
}

} // namespace Samphirepitch
