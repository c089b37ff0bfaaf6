#pragma once

#include <cstdint>
#include <iosfwd>

namespace Samphirepitch
{

/**
 * Measures the memory and processor time that an instance needs for the configuration, the member view and the flow table, at
 * several sizes. docs/CAPACITY.md extrapolates from the slopes. Runs in this process and opens no sockets.
 */
class CapacityBench
{
public:
    /** Extent of the measurements. */
    struct Options {
        std::uint64_t seed = 1; /**< seed of keys and of configuration changes */
        std::uint32_t steps = 4; /**< number of sizes: the planned size divided by 1, 4, 16, ... */
        std::uint32_t changes = 20; /**< configuration changes measured at each size */
    };

    explicit CapacityBench(Options options);

    /** Runs all measurements, smallest size first, and writes a line "bench: name=capacity-... key=value ..." for each to @p out. */
    void run(std::ostream &out) const;

private:
    void measureConfiguration(std::uint32_t divisor, std::ostream &out) const;
    void measureMembers(std::uint32_t divisor, std::ostream &out) const;
    void measureFlows(std::uint32_t divisor, std::ostream &out) const;

    Options m_options;
};

} // namespace Samphirepitch
