#pragma once

#include "stream/serverselector.h"

namespace Samphirepitch
{

/**
 * Takes the server with the fewest flows a slot. A long flow loads its server for many requests, so that open flows tell more
 * about the load to come than the requests of this moment. Answers the pattern of long flows over servers with few slots, where
 * a domain may be cut off: servers of the own domain are preferred as long as they are not much fuller than others. A server that takes
 * twice as long to answer counts as four times as full: its slots do half of the work, and each answer is late by itself.
 */
class LeastFlowsSelector : public ServerSelector
{
public:
    /** How many times as many flows a local server may have before a remote one is taken. Compared in docs/platform-adapter.md. */
    static constexpr double remoteCostFactor = 4.0;
    /** How many flows a slot a local server may have at any rate; short flows need no remote server because of a few others. */
    static constexpr double remoteCostOffset = 6;
    /** A cold server counts as this many times as full; servers work about 1.6 times as long after their start. */
    static constexpr double coldCostFactor = 1.6;

    std::optional<std::size_t> choose(const std::vector<StreamCandidate> &candidates, RandomSource &random) const override;
};

} // namespace Samphirepitch
