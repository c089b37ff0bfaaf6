#pragma once

#include "core/clock.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Samphirepitch
{

/**
 * How long backend servers take to answer, as this instance sees it, and how they compare with others of their service. Answers the
 * pattern of servers that turn slow or leave requests without an answer while their health check stays good: they get fewer new flows
 * than others, but some, which show when they are as fast as the others again.
 */
class ServerLatencyTracker
{
public:
    /** How much one answer moves the estimate: 10 answers in a row that are too slow raise it to 4 times its value. */
    static constexpr double estimateStep = 0.15;
    /** An estimate of fewer answers says nothing: the first one may be one of the few long ones. */
    static constexpr std::uint32_t minResponses = 6;
    /** Without answers, half of what makes a server slow is forgotten in this time, so that it gets flows that show whether it still is.
     * A long flow sends about 1.2 requests a second. */
    static constexpr std::chrono::seconds halfLife { 4 };
    /** An estimate that no answer confirmed for longer is void. */
    static constexpr std::chrono::seconds estimateLifetime { 20 };
    /** Servers up to this many times slower than the middle one are taken as alike: estimates of equal servers differ by a quarter. */
    static constexpr double timeTolerance = 1.4;
    /** How much one request moves the share of late answers. */
    static constexpr double lateShareStep = 0.1;
    /** A share of late answers this much above that of the middle server says nothing: twice what equal servers differ by. */
    static constexpr double lateShareTolerance = 0.15;
    /** How much slower a share of late answers makes a server: one that leaves four in ten without an answer counts as 4 times slower. */
    static constexpr double lateShareWeight = 12;
    /** The most that a server counts as slower, so that a few answers show its return. */
    static constexpr double maxSlowdown = 8;

    /** A server answered after @p time. */
    void recordResponse(std::uint32_t token, std::chrono::nanoseconds time, TimePoint now);

    /** A server has not answered a request within FlowTracker::overdueThreshold; called once a request. */
    void recordOverdueResponse(std::uint32_t token, TimePoint now);

    /** Forgets a server. */
    void forget(std::uint32_t token);

    /** Returns the middle of a server's answer times, or nothing if too little is known. */
    std::optional<double> medianMilliseconds(std::uint32_t token, TimePoint now) const;

    /**
     * Compares the servers of a service.
     * @return for each token how many times as long as alike ones it takes to answer; 1 if it is alike or unknown
     */
    std::vector<double> compareServers(const std::vector<std::uint32_t> &tokens, TimePoint now) const;

private:
    struct Estimate {
        double medianMilliseconds = 0; // the median, found by steps up and down
        double lateShare = 0; // of the last requests
        std::uint32_t responses = 0;
        TimePoint last {};
    };

    const Estimate *find(std::uint32_t token, TimePoint now) const;
    static double slowdownOf(const Estimate &estimate, double medianTime, double medianLateShare);
    static double decayFactor(const Estimate &estimate, TimePoint now);
    Estimate &currentEstimate(std::uint32_t token, double first, TimePoint now);

    std::unordered_map<std::uint32_t, Estimate> m_estimates;
};

} // namespace Samphirepitch
