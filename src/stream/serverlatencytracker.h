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
 * Estimates the response times of backend servers and compares them within a service. Servers may become slow, or leave requests without
 * a response, while their health checks still succeed. Such servers get fewer new flows than others, but still some, which show when they
 * are as fast as the others again.
 */
class ServerLatencyTracker
{
public:
    /** How much one response changes the estimate: 10 slow responses in a row raise it to 4 times its value. */
    static constexpr double estimateStep = 0.15;
    /** Estimates from fewer responses are not used: the first response may be one of the few slow ones. */
    static constexpr std::uint32_t minResponses = 6;
    /**
     * Without responses, the slowdown of a server decays by half in this time, so that it gets flows that show whether it is still slow. A
     * long flow sends about 1.2 requests per second.
     */
    static constexpr std::chrono::seconds halfLife { 4 };
    /** An estimate is discarded after this time without responses. */
    static constexpr std::chrono::seconds estimateLifetime { 20 };
    /** Servers up to this many times slower than the median count as equal: estimates of equal servers differ by a quarter. */
    static constexpr double timeTolerance = 1.4;
    /** How much one request changes the share of late responses. */
    static constexpr double lateShareStep = 0.1;
    /** The share of late responses counts only above the median plus this tolerance: equal servers differ by half of it. */
    static constexpr double lateShareTolerance = 0.15;
    /** Slowdown per share of late responses: a server that leaves four of ten requests without a response counts as 4 times slower. */
    static constexpr double lateShareWeight = 12;
    /** Upper bound of the slowdown, so that a few responses are enough to show that a server has recovered. */
    static constexpr double maxSlowdown = 8;

    /** Records that a server responded to a request after @p time. */
    void recordResponse(std::uint32_t token, std::chrono::nanoseconds time, TimePoint now);

    /** Records that a request got no response within FlowTracker::overdueThreshold. Must be called once for such a request. */
    void recordOverdueResponse(std::uint32_t token, TimePoint now);

    /** Discards the estimate of a server. */
    void forget(std::uint32_t token);

    /** Returns the estimated median response time of a server in milliseconds, or nothing if it has too few recent responses. */
    std::optional<double> medianMilliseconds(std::uint32_t token, TimePoint now) const;

    /**
     * Compares the response times of the servers of a service.
     * @return for each token the slowdown, at most maxSlowdown: how many times as long as the median server it takes to respond; 1 if it is
     * about as fast or too little is known
     */
    std::vector<double> compareServers(const std::vector<std::uint32_t> &tokens, TimePoint now) const;

private:
    struct Estimate {
        double medianMilliseconds = 0; // approximated by steps up and down
        double lateShare = 0; // exponential moving average
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
