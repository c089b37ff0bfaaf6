#pragma once

#include <chrono>
#include <cstdint>
#include <iosfwd>

namespace Samphirepitch
{

/** Measures the control plane traffic of several instances that run in this process and are linked over loopback. */
class ControlBench
{
public:
    /** Parameters of one measurement. */
    struct Settings {
        std::size_t instances = 8;
        std::size_t failureDomains = 1;
        std::size_t pools = 100; /**< pools in the configuration, each of 12 backend servers */
        std::chrono::milliseconds idleTime { 10000 }; /**< length of the phase without configuration changes */
        std::size_t changes = 10; /**< configuration changes; each changes one pool */
        std::uint64_t seed = 1;
    };

    /**
     * Runs one measurement and prints a line "bench: name=control instances=N ..." for the idle phase and one for the changes.
     * @return false if a generation was not in force on all instances within 60 seconds
     */
    static bool run(const Settings &settings, std::ostream &out);

    /**
     * Runs the measurements of docs/CAPACITY.md: 8, 16, 32 and 64 instances in one failure domain, and in failure domains of 8.
     * @return false if any measurement failed
     */
    static bool runAll(std::uint64_t seed, std::ostream &out);
};

} // namespace Samphirepitch
