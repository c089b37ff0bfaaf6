#include "core/random.h"
#include "loadreport/loadreporter.h"
#include "loadreport/loadreports.h"
#include "stream/flowtracker.h"

#include <catch2/catch.hpp>

#include <cmath>

using namespace Samphirepitch;

using std::chrono::milliseconds;

namespace
{

/** Sixty instances that see 0.2 responses a second of each of 150 servers, and exchange reports each 500 ms with three others. */
class Deployment
{
public:
    static constexpr std::uint32_t instances = 60;
    static constexpr std::uint32_t servers = 150;
    static constexpr std::uint32_t slowServers = 90;

    Deployment()
        : m_reporters(instances)
        , m_reports(instances)
    {
        for (std::uint32_t server = 0; server < servers; ++server) {
            m_tokens.push_back(static_cast<std::uint32_t>(m_random.below(0xffffffff)));
        }
    }

    /** Runs for a time in which the first slowServers servers take @p factor times as long. */
    void run(milliseconds time, double factor)
    {
        for (const TimePoint end = m_now + time; m_now < end; m_now += step) {
            for (std::uint32_t count = 0; count < responsesPerStep; ++count) {
                respond(factor);
            }
            for (std::uint32_t instance = 0; instance < instances; ++instance) {
                if ((m_now.time_since_epoch() / step + instance * 7) % roundSteps == 0) {
                    sendReport(instance);
                }
            }
        }
    }

    /** Returns the share of a range of servers that count as slow, as the mean over ten instances. */
    double slowShare(std::uint32_t first, std::uint32_t last) const
    {
        double slow = 0;
        for (std::uint32_t instance = 0; instance < 10; ++instance) {
            const std::vector<double> slowdowns = m_reports[instance].compareServers(m_tokens, m_now);
            for (std::uint32_t server = first; server < last; ++server) {
                slow += slowdowns[server] > 1 ? 1 : 0;
            }
        }
        return slow / 10 / (last - first);
    }

private:
    static constexpr milliseconds step { 10 };
    static constexpr int roundSteps = 50;
    static constexpr std::uint32_t responsesPerStep = 18; // 0.2 responses a second of 150 servers at 60 instances

    void respond(double factor)
    {
        const auto instance = m_random.below(instances);
        const auto server = static_cast<std::uint32_t>(m_random.below(servers));
        // The sum of twelve uniform numbers is close to a normal distribution: work of 17 ms, log-normal, with 2 ms on the way.
        double normal = -6;
        for (int index = 0; index < 12; ++index) {
            normal += static_cast<double>(m_random.below(1000000)) / 1e6;
        }
        const double work = std::min(17 * std::exp(0.5 * normal), 120.0) * (server < slowServers ? factor : 1) + 2;
        const auto time = std::chrono::nanoseconds(std::llround(work * 1e6));
        if (time < FlowTracker::overdueThreshold) {
            m_reporters[instance].recordResponse("orders", m_tokens[server], time, m_now);
        } else {
            m_reporters[instance].recordOverdueResponse(m_tokens[server], m_now);
        }
    }

    void sendReport(std::uint32_t instance)
    {
        m_reports[instance].recordOwn(m_reporters[instance].servers(m_now), m_now);
        const std::string bytes = m_reporters[instance].makeReport({ {} }, m_now).encode();
        for (int target = 0; target < 3; ++target) {
            const auto receiver = (instance + 1 + m_random.below(instances - 1)) % instances;
            m_reports[receiver].record(std::to_string(instance), PeerLoadReport::decode(bytes, m_now), m_now);
        }
    }

    SeededRandom m_random { 20261206 };
    TimePoint m_now = TimePoint() + std::chrono::hours(1);
    std::vector<LoadReporter> m_reporters;
    std::vector<LoadReports> m_reports;
    std::vector<std::uint32_t> m_tokens;
};

} // namespace

TEST_CASE("most servers that turn slow for 6 s are known within 3 s although one instance sees hardly any response", "[loadreport]")
{
    Deployment deployment;
    deployment.run(milliseconds(4000), 1);
    const double before = deployment.slowShare(0, Deployment::servers);
    deployment.run(milliseconds(3000), 3);
    const double after3 = deployment.slowShare(0, Deployment::slowServers);
    const double others = deployment.slowShare(Deployment::slowServers, Deployment::servers);
    deployment.run(milliseconds(3000), 3);
    const double after6 = deployment.slowShare(0, Deployment::slowServers);
    deployment.run(milliseconds(4000), 1);
    const double recovered = deployment.slowShare(0, Deployment::slowServers);
    CAPTURE(before, after3, others, after6, recovered);
    CHECK(before < 0.02);
    CHECK(after3 > 0.5);
    CHECK(others < 0.02);
    CHECK(after6 > 0.6);
    CHECK(recovered < 0.05);
}
