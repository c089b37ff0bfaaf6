#pragma once

#include "core/clock.h"
#include "loadreport/loadview.h"
#include "loadreport/peerloadreport.h"
#include "loadreport/slowdownview.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Samphirepitch
{

/** Keeps the newest report of each other instance and derives from them what one instance alone can't know. */
class LoadReports : public LoadView, public SlowdownView
{
public:
    /** Older reports don't count. With 6 messages a second, an instance has about 9 reports, which is enough for a mean. */
    static constexpr std::chrono::milliseconds lifetime { 1500 };
    /**
     * Servers with fewer pooled responses are not compared. With 60 instances that see 0.2 responses a second of each of 150 servers, a
     * simulation finds 3 s after the change 60% of the servers that became three times as slow, and calls 0.7% of the others slow. With 5
     * responses it finds 33%, because few servers have so many.
     */
    static constexpr std::uint32_t minResponses = 3;
    /** Fewer servers have no meaningful quarter. */
    static constexpr std::size_t minServers = 4;
    /** A server counts as slow from this many times the time of the fastest quarter on: few equal servers reach it by chance. */
    static constexpr double slowFactor = 2;
    /** Upper bound of the slowdown, as in ServerLatencyTracker. */
    static constexpr double maxSlowdown = 8;

    /** Keeps the report of another instance if it is not older than the known one. Empty reports are ignored. */
    void record(const std::string &instance, PeerLoadReport report, TimePoint now);

    /** Sets the response times that this instance sees itself. They are pooled with those of the reports. */
    void recordOwn(std::vector<ServerLoad> servers, TimePoint now);

    std::optional<ServiceLoadEstimate> serviceLoad(const std::string &service, TimePoint now) const override;
    std::vector<double> compareServers(const std::vector<std::uint32_t> &tokens, TimePoint now) const override;

    /** Returns the number of reports that count. */
    std::size_t count(TimePoint now) const;

    /** Returns the age of the oldest report that counts, or 0 if there is none. */
    std::chrono::nanoseconds oldestAge(TimePoint now) const;

private:
    struct PooledTime {
        std::uint32_t responses = 0;
        double logSum = 0; // of the logarithms of the times in milliseconds
    };

    void pool(TimePoint now);
    static bool isFresh(const PeerLoadReport &report, TimePoint now);

    std::map<std::string, PeerLoadReport> m_reports; // by the id of the instance
    PeerLoadReport m_own;
    std::unordered_map<std::uint16_t, PooledTime> m_pooled; // by the hash of the token, as of the last report
};

} // namespace Samphirepitch
