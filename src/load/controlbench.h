#pragma once

#include <chrono>
#include <cstdint>
#include <iosfwd>

namespace Samphirepitch
{

/** Measures the control traffic of instances that run in this process and are linked over loopback. */
class ControlBench
{
public:
    /** One measurement. */
    struct Settings {
        std::size_t instances = 8;
        std::size_t failureDomains = 1;
        std::size_t pools = 100; /**< pools of 12 backend servers in the configuration */
        std::chrono::milliseconds idleTime { 10000 }; /**< without changes */
        std::size_t changes = 10; /**< each changes one pool */
        std::uint64_t seed = 1;
    };

    /**
     * Runs one measurement and prints lines "bench: name=control instances=N ...".
     * @return false if the instances did not get a generation in time
     */
    static bool run(const Settings &settings, std::ostream &out);

    /** Runs the measurements of the capacity page: 8, 16, 32 and 64 instances in one failure domain and in domains of 8. */
    static bool runAll(std::uint64_t seed, std::ostream &out);
};

} // namespace Samphirepitch
