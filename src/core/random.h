#pragma once

#include <cstdint>
#include <random>

namespace Samphirepitch
{

/** The source of random numbers. Drivers and tests give a seeded one. */
class RandomSource
{
public:
    virtual ~RandomSource() = default;

    /** Returns 64 random bits. */
    virtual std::uint64_t next() = 0;

    /** Returns a number of 0..@p bound - 1; @p bound is at least 1. */
    std::uint64_t below(std::uint64_t bound);

    /** Returns a number of [0, 1). */
    double uniform();
};

/** A Mersenne Twister that repeats its sequence for the same seed. */
class SeededRandom : public RandomSource
{
public:
    explicit SeededRandom(std::uint64_t seed);

    std::uint64_t next() override;

private:
    std::mt19937_64 m_engine;
};

} // namespace Samphirepitch
