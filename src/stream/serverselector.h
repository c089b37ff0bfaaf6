#pragma once

#include "core/random.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace Samphirepitch
{

/** What a selector needs to know about a backend server to place a new flow. */
struct StreamCandidate {
    std::uint32_t flows = 0; /**< recently active flows; see FlowTracker::loadWindow */
    std::uint32_t awaitingResponse = 0; /**< flows with a request that has no response yet */
    std::uint32_t slots = 1; /**< number of requests that it processes at the same time */
    bool cold = false; /**< whether it has just started and is still slow */
    double slowdown = 1; /**< how many times as long as others of its service it takes to respond; 1 if equal or unknown */
    bool local = true; /**< whether it is in the failure domain of the instance */
    bool lastResort = false; /**< whether it is chosen only if there is no other server, for example because it didn't respond lately */
};

/** Chooses the backend server of a new flow. */
class ServerSelector
{
public:
    virtual ~ServerSelector() = default;

    /**
     * Chooses one of the candidates. An implementation prefers candidates that are not a last resort.
     * @param candidates the servers that can take the flow
     * @param random the source for random choices
     * @return the index of the chosen server, or nothing if there is no candidate
     */
    virtual std::optional<std::size_t> choose(const std::vector<StreamCandidate> &candidates, RandomSource &random) const = 0;
};

} // namespace Samphirepitch
