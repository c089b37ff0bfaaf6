#include "loadreport/loadreporter.h"

#include "stream/flowtracker.h"

#include <algorithm>
#include <cmath>

namespace Samphirepitch
{

namespace
{

// How much one response changes the median; as in ServerLatencyTracker, but with more responses for each service.
constexpr double medianStep = 0.05;
// Early responses change it less: under an overload most responses may be rejections. If a service really becomes this much faster, its
// median follows within some hundred responses.
constexpr double earlyMedianStep = 0.005;
// Weight of one response in the share of early ones.
constexpr double shareStep = 0.05;
// The logarithms of shorter times would outweigh all others.
constexpr double minMilliseconds = 1;

} // namespace

void LoadReporter::recordResponse(const std::string &service, std::uint32_t token, std::chrono::nanoseconds time, TimePoint now)
{
    const double milliseconds = std::chrono::duration<double, std::milli>(time).count();
    ServiceTimes &times = m_services.try_emplace(PeerLoadReport::hashOf(service), ServiceTimes { .medianMs = milliseconds }).first->second;
    const bool isEarly = milliseconds < times.medianMs * earlyPart;
    const double step = isEarly ? earlyMedianStep : medianStep;
    times.medianMs *= milliseconds > times.medianMs ? 1 + step : 1 / (1 + step);
    times.earlyShare += ((isEarly ? 1 : 0) - times.earlyShare) * shareStep;
    if (isEarly) {
        ++m_earlyCount;
    } else if (time < FlowTracker::overdueThreshold) { // slower ones were recorded by recordOverdueResponse()
        add(token, milliseconds, now);
    }
}

void LoadReporter::recordOverdueResponse(std::uint32_t token, TimePoint now)
{
    add(token, std::chrono::duration<double, std::milli>(FlowTracker::overdueThreshold).count(), now);
}

void LoadReporter::add(std::uint32_t token, double milliseconds, TimePoint now)
{
    m_samples.push_back({ now, PeerLoadReport::hashOf(token), std::log2(std::max(milliseconds, minMilliseconds)) });
    expire(now);
}

void LoadReporter::expire(TimePoint now)
{
    while (!m_samples.empty() && (m_samples.size() > maxSamples || now >= m_samples.front().at + window)) {
        m_samples.pop_front();
    }
}

std::vector<ServerLoad> LoadReporter::servers(TimePoint now)
{
    expire(now);
    std::map<std::uint16_t, ServerLoad> byServer;
    for (const Sample &sample : m_samples) {
        ServerLoad &load = byServer[sample.server];
        load.server = sample.server;
        ++load.responses;
        load.responseMs += sample.logMs;
    }
    std::vector<ServerLoad> loads;
    for (auto &[server, load] : byServer) {
        load.responseMs = std::exp2(load.responseMs / load.responses);
        loads.push_back(load);
    }
    return loads;
}

PeerLoadReport LoadReporter::makeReport(std::vector<ServiceLoad> services, TimePoint now)
{
    std::sort(services.begin(), services.end(),
        [](const ServiceLoad &left, const ServiceLoad &right) { return left.inFlight + left.held > right.inFlight + right.held; });
    services.resize(std::min(services.size(), PeerLoadReport::maxServices));
    for (ServiceLoad &service : services) {
        const auto found = m_services.find(service.service);
        service.earlyShare = found == m_services.end() ? 0 : found->second.earlyShare;
    }
    std::vector<ServerLoad> loads = servers(now);
    const std::size_t capacity = PeerLoadReport::serverCapacity(services.size());
    if (loads.size() > capacity) {
        const auto next = std::find_if(loads.begin(), loads.end(), [this](const ServerLoad &load) { return load.server > m_lastServer; });
        std::rotate(loads.begin(), next, loads.end());
        loads.resize(capacity);
        m_lastServer = loads.back().server;
    }
    return { .services = std::move(services), .servers = std::move(loads), .madeAt = now };
}

std::uint64_t LoadReporter::earlyCount() const
{
    return m_earlyCount;
}

} // namespace Samphirepitch
