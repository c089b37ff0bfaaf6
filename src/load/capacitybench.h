#pragma once

#include <cstdint>
#include <iosfwd>

namespace Samphirepitch
{

/**
 * Measures what the configuration, the member view and the flow table cost an instance at several sizes, so that
 * docs/CAPACITY.md can extrapolate from slopes. Runs in this process and opens no sockets.
 */
class CapacityBench
{
public:
    /** What to measure. */
    struct Options {
        std::uint64_t seed = 1;
        std::uint32_t steps = 4; /**< sizes: the planned size divided by 1, 4, 16, ...; the largest is the planned size */
        std::uint32_t changes = 20; /**< configuration changes measured at each size */
    };

    explicit CapacityBench(Options options);

    /** Runs all measurements and writes one line "bench: name=capacity-... key=value ..." for each to @p out. */
    void run(std::ostream &out) const;

private:
    void measureConfiguration(std::uint32_t divisor, std::ostream &out) const;
    void measureMembers(std::uint32_t divisor, std::ostream &out) const;
    void measureFlows(std::uint32_t divisor, std::ostream &out) const;

    Options m_options;
};

} // namespace Samphirepitch
