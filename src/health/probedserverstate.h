#pragma once

#include <cstdint>

namespace Samphirepitch
{

/**
 * The health state of a backend server as seen by one of its probers. Until this instance has enough consecutive equal probe results,
 * the state follows the reports of other probers. From then on only its own probes count, so that two probers that disagree don't
 * change the state in turn.
 */
class ProbedServerState
{
public:
    static constexpr std::uint32_t failuresUntilDown = 3; /**< consecutive failures; a single probe can be lost or late */
    static constexpr std::uint32_t successesUntilUp = 2; /**< consecutive successes */

    /** @param isUp last reported state; a server without a report counts as up */
    explicit ProbedServerState(bool isUp = true);

    /**
     * Records a probe of this instance.
     * @param success whether the probe succeeded
     * @return whether the state changed, so that it must be reported
     */
    bool recordProbe(bool success);

    /** Applies a state that another prober reported; ignored once the probes of this instance decide. */
    void stateReported(bool isUp);

    bool isUp() const;

private:
    std::uint32_t m_sameResults = 0; // consecutive probes with the same result, up to the threshold
    bool m_lastSuccess = true;
    bool m_isUp;
    bool m_hasOwnResult = false; // whether this instance had enough consecutive equal results
};

} // namespace Samphirepitch
