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

/** The instances and the platform of one control plane measurement. */
class ControlCluster
{
public:
    /** Cumulative counters over all instances. */
    struct Totals {
        std::array<std::uint64_t, std::variant_size_v<Message>> bytes {}; // sent bytes by message type
        std::vector<std::uint64_t> sentBytes; // sent bytes by instance
        std::uint64_t messages = 0;
        std::uint64_t platformReads = 0; // includes watches and reads of the instance list
        std::uint64_t platformWrites = 0;
        double cpuSeconds = 0; // processor time of this process
        TimePoint takenAt {};
    };

    explicit ControlCluster(const ControlBench::Settings &settings);
    ~ControlCluster();

    /**
     * Starts all instances and publishes generation 1. Waits until it is in force everywhere, all instances see each other alive, and
     * surplus links of the start are closed.
     * @return false if an instance cannot start, or if this takes longer than 60 seconds
     */
    bool start();

    /**
     * Publishes a generation that differs from the previous one in one pool, and waits until it is in force everywhere.
     * @return false if this takes longer than 60 seconds
     */
    bool publishAndWait(std::uint64_t generation);

    /** Runs the instances for @p time. */
    void runFor(std::chrono::milliseconds time);

    Totals totals() const;

    /** Returns the highest number of links of an instance. */
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
