#pragma once

#include "core/clock.h"
#include "load/controlbench.h"
#include "load/controlinstance.h"
#include "load/memoryplatform.h"

#include <asio/io_context.hpp>

#include <array>
#include <cstdint>
#include <memory>
#include <vector>

namespace Samphirepitch
{

/** The instances and the platform of one measurement. */
class ControlCluster
{
public:
    /** Sums over all instances. */
    struct Totals {
        std::array<std::uint64_t, std::variant_size_v<Message>> bytes {}; // sent, by message type
        std::vector<std::uint64_t> sentBytes; // by instance
        std::uint64_t messages = 0;
        std::uint64_t platformReads = 0; // with watches and reads of the list
        std::uint64_t platformWrites = 0;
        double cpuSeconds = 0; // of this process
        TimePoint takenAt {};
    };

    explicit ControlCluster(const ControlBench::Settings &settings);
    ~ControlCluster();

    /** Starts all instances and waits until all hold generation 1, see each other, and closed the links of the start. */
    bool start();

    /** Publishes a generation that differs from the previous one in one pool; waits until it is in force everywhere. */
    bool publishAndWait(std::uint64_t generation);

    /** Runs the instances for @p time. */
    void runFor(std::chrono::milliseconds time);

    Totals totals() const;

    /** Highest number of links of an instance. */
    std::size_t maxLinks() const;

    TimePoint now() const;

private:
    template<typename Condition>
    bool runUntil(Condition done);

    bool isSettled() const;
    void publish(std::uint64_t generation);

    ControlBench::Settings m_settings;
    asio::io_context m_io;
    SteadyClock m_clock;
    MemoryPlatform m_platform;
    std::vector<std::unique_ptr<ControlInstance>> m_instances;
};

} // namespace Samphirepitch
