#pragma once

#include <chrono>

namespace Samphirepitch
{

class RandomSource;

/** Delays between retries: the bound doubles after each failure, and jitter keeps instances from retrying at the same time. */
class ExponentialBackoff
{
public:
    static constexpr std::chrono::milliseconds initialBound { 250 }; /**< upper bound of the first delay */
    static constexpr std::chrono::milliseconds maxBound { 4000 }; /**< upper bound of any delay */

    /** @param random source of the jitter; must outlive the object */
    explicit ExponentialBackoff(RandomSource &random);

    /** Returns the delay after a failure, a random value in [bound / 2, bound), and doubles the bound. */
    std::chrono::milliseconds nextDelay();

    /** Sets the bound back to its initial value, after a success. */
    void reset();

private:
    RandomSource &m_random;
    std::chrono::milliseconds m_bound = initialBound;
};

} // namespace Samphirepitch
