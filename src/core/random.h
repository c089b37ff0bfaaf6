#pragma once

#include <cstdint>
#include <random>

namespace Samphirepitch
{

/** Source of random numbers. Tests and simulations use a seeded one, so that a run can be repeated. */
class RandomSource
{
public:
    virtual ~RandomSource() = default;

    /** Returns 64 independent, uniformly distributed bits. */
    virtual std::uint64_t next() = 0;

    /** Returns a uniformly distributed number from 0 to @p bound - 1; @p bound is from 1 to 2^32. */
    std::uint64_t below(std::uint64_t bound);

    /** Returns a uniformly distributed number of the interval [0, 1). */
    double uniform();
};

/** A Mersenne Twister, which yields the same sequence for the same seed. */
class SeededRandom : public RandomSource
{
public:
    explicit SeededRandom(std::uint64_t seed);

    std::uint64_t next() override;

private:
    std::mt19937_64 m_engine;
};

} // namespace Samphirepitch
