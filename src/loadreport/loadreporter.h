#pragma once

#include "core/clock.h"
#include "loadreport/peerloadreport.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace Samphirepitch
{

/** Makes the reports of this instance from the responses that it sees. */
class LoadReporter
{
public:
    /** Responses are reported for this time. Within it, one of 60 instances sees at most one response of most servers. */
    static constexpr std::chrono::milliseconds window { 2000 };
    /** Larger numbers of responses within the window are not needed for a report; the oldest are left out. */
    static constexpr std::size_t maxSamples = 2000;
    /** A response that takes less than this part of the median of its service may be the rejection of a full server. */
    static constexpr double earlyPart = 0.25;

    /** Records a response of a server of a service after @p time. Responses that came too early are only counted. */
    void recordResponse(const std::string &service, std::uint32_t token, std::chrono::nanoseconds time, TimePoint now);

    /** Records that a request got no response within FlowTracker::overdueThreshold. Must be called once for such a request. */
    void recordOverdueResponse(std::uint32_t token, TimePoint now);

    /** Returns the response times of all servers with responses in the window, by their hashes. */
    std::vector<ServerLoad> servers(TimePoint now);

    /**
     * Makes a report.
     * @param services the load of all services; those with the most requests are reported. Their share of early responses is set here.
     * @return the report. If not all servers fit, successive reports contain different ones. They are chosen independently of their times:
     * if the slowest were preferred, equal servers would look slow.
     */
    PeerLoadReport makeReport(std::vector<ServiceLoad> services, TimePoint now);

    /** Returns the number of responses that came too early. */
    std::uint64_t earlyCount() const;

private:
    struct Sample {
        TimePoint at {};
        std::uint16_t server = 0;
        double logMs = 0; // logarithm of the time in milliseconds
    };

    struct ServiceTimes {
        double medianMs = 0; // approximated by steps up and down; 0 before the first response
        double earlyShare = 0; // exponential moving average
    };

    void add(std::uint32_t token, double milliseconds, TimePoint now);
    void expire(TimePoint now);

    std::deque<Sample> m_samples;
    std::map<std::uint32_t, ServiceTimes> m_services; // by the hash of the service
    std::uint16_t m_lastServer = 0; // the last one in the report before
    std::uint64_t m_earlyCount = 0;
};

} // namespace Samphirepitch
