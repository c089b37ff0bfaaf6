#pragma once

#include <chrono>

namespace Samphirepitch
{

class RandomSource;

/** Delays between attempts: doubled after each failure, with jitter, so that instances do not return at the same moment. */
class ExponentialBackoff
{
public:
    static constexpr std::chrono::milliseconds initialBound { 250 };
    static constexpr std::chrono::milliseconds maxBound { 4000 };

    explicit ExponentialBackoff(RandomSource &random);

    /** Returns the delay after one more failure, of [half, whole) of the current bound. */
    std::chrono::milliseconds nextDelay();

    /** Starts again after a success. */
    void reset();

private:
    RandomSource &m_random;
    std::chrono::milliseconds m_bound = initialBound;
};

} // namespace Samphirepitch
