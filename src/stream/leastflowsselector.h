#pragma once

#include "stream/serverselector.h"

namespace Samphirepitch
{

/**
 * Chooses the server with the fewest flows per slot. Made for long flows and servers with few slots: a long flow sends many requests to
 * its server, so the number of open flows predicts the load better than the number of current requests. Servers of the instance's own
 * failure domain are preferred, unless they are much fuller than others: flows that stay within a failure domain survive when it is cut
 * off from the rest. A server that takes twice as long to respond counts as four times as full, because its slots do half of the work and
 * each response is late as well.
 */
class LeastFlowsSelector : public ServerSelector
{
public:
    /** How many times as many flows a local server may have before a remote one is chosen. For a comparison of values, see
     * docs/platform-adapter.md. */
    static constexpr double remoteCostFactor = 4.0;
    /** Flows per slot that a local server may have in any case, so that a few short flows don't lead to a remote server. */
    static constexpr double remoteCostOffset = 6;
    /** How many times as full a cold server counts. Requests take about 1.6 times as long on a server that has just started. */
    static constexpr double coldCostFactor = 1.6;

    std::optional<std::size_t> choose(const std::vector<StreamCandidate> &candidates, RandomSource &random) const override;
};

} // namespace Samphirepitch
