#pragma once

#include "core/clock.h"

#include <cstdint>
#include <vector>

namespace Samphirepitch
{

/** Compares servers by what several instances see of them. */
class SlowdownView
{
public:
    virtual ~SlowdownView() = default;

    /**
     * Compares the response times of the servers of a service.
     * @return for each token how many times as long as the fastest quarter of the servers it takes to respond, if that is much longer; 1 if
     * it is not, or too little is known
     */
    virtual std::vector<double> compareServers(const std::vector<std::uint32_t> &tokens, TimePoint now) const = 0;
};

} // namespace Samphirepitch
