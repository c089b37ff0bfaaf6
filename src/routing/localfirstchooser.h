#pragma once

#include "routing/serverchooser.h"

namespace Samphirepitch
{

/**
 * Prefers servers of the own failure domain while they have free slots, then spills over. Among those it takes the less loaded
 * of two random servers, where load is the larger of what this instance has outstanding and what the server reported, for
 * each slot. Two random choices keep instances with equally old reports from all choosing the same server.
 */
class LocalFirstChooser : public ServerChooser
{
public:
    ServerIndex choose(std::span<const ServerCandidate> candidates, std::uint64_t key, RandomSource &random) override;
};

} // namespace Samphirepitch
