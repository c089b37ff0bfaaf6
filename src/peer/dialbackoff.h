#pragma once

#include <chrono>

namespace Samphirepitch
{

class RandomSource;

/** Delays between attempts: doubled after each failure, with jitter, so that instances do not return at the same moment. */
class DialBackoff
{
public:
    static constexpr std::chrono::milliseconds first { 250 };
    static constexpr std::chrono::milliseconds longest { 4000 };

    explicit DialBackoff(RandomSource &random);

    /** Returns the delay after one more failure, of [half, whole) of the current bound. */
    std::chrono::milliseconds next();

    /** Starts again after a success. */
    void reset();

private:
    RandomSource &m_random;
    std::chrono::milliseconds m_bound = first;
};

} // namespace Samphirepitch
