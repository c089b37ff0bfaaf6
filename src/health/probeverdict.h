#pragma once

#include <cstdint>

namespace Samphirepitch
{

/**
 * What the probers of a backend server hold it for. Until the instance has seen enough probes in a row of its own, it follows
 * the states that other probers spread; after that it speaks for itself, so that two probers that disagree don't alternate.
 */
class ProbeVerdict
{
public:
    static constexpr std::uint32_t failuresUntilDown = 3; /**< in a row; a probe can be lost or late */
    static constexpr std::uint32_t successesUntilUp = 2; /**< in a row */

    /** Starts with the state that was spread last; a server of which nothing is known is up. */
    explicit ProbeVerdict(bool isUp = true);

    /** Takes the result of a probe. @return whether the state changed and has to be spread */
    bool probed(bool good);

    /** Takes a state that another prober spread. */
    void stateSpread(bool isUp);

    bool isUp() const;

private:
    std::uint32_t m_run = 0; // probes in a row with the same result
    bool m_lastGood = true;
    bool m_isUp;
    bool m_isOwn = false; // a run of probes of this instance was long enough
};

} // namespace Samphirepitch
