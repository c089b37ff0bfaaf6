#pragma once

#include "routing/serverchooser.h"

namespace Samphirepitch
{

/**
 * Prefers servers in the failure domain of this instance while any of them has a free slot, then servers of any domain with a free
 * slot, then all servers. From the preferred set, it takes the less loaded of two random servers. The load of a server is the larger
 * of the requests that this instance has outstanding there and those that the server reported, divided by its slots. The two random
 * choices keep instances with equally old load reports from all choosing the same server.
 */
class LocalFirstChooser : public ServerChooser
{
public:
    ServerIndex choose(std::span<const ServerCandidate> candidates, std::uint64_t key, RandomSource &random) override;
};

} // namespace Samphirepitch
