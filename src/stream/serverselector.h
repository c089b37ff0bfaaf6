#pragma once

#include "core/random.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace Samphirepitch
{

/** What is known of a backend server when a new flow has to be placed. */
struct StreamCandidate {
    std::uint32_t flows = 0; /**< flows with packets lately */
    std::uint32_t awaitingResponse = 0; /**< flows with an unanswered request */
    std::uint32_t slots = 1; /**< requests that it runs at once */
    bool cold = false; /**< it has just started and is slow */
    double slowdown = 1; /**< how many times as long as others of its service it takes to answer; 1 if alike or unknown */
    bool local = true; /**< it is in the failure domain of the instance */
    bool lastResort = false; /**< it did not answer lately; only taken if no other server is there */
};

/** Chooses the backend server of a new flow. */
class ServerSelector
{
public:
    virtual ~ServerSelector() = default;

    /** Returns the index of the chosen server, or nothing if there is no candidate. */
    virtual std::optional<std::size_t> choose(const std::vector<StreamCandidate> &candidates, RandomSource &random) const = 0;
};

} // namespace Samphirepitch
