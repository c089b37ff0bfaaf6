#include "load/controlbench.h"

#include "load/internal/controlcluster.h"

#include <algorithm>
#include <ostream>
#include <string>

namespace Samphirepitch
{

namespace
{

using Totals = ControlCluster::Totals;

constexpr std::size_t instancesPerDomain = 8; // in the layouts with several failure domains

double seconds(TimePoint from, TimePoint to)
{
    return std::chrono::duration<double>(to - from).count();
}

std::string prefix(const ControlBench::Settings &settings)
{
    return "bench: name=control instances=" + std::to_string(settings.instances)
        + " failure_domains=" + std::to_string(settings.failureDomains) + " seed=" + std::to_string(settings.seed);
}

/**
 * Returns the bytes of the instance that sent most between @p from and @p to.
 * @param idleStart begin of the idle phase, which ended at @p from
 * @param idleShare share of the instance's idle traffic to subtract; 0 for none
 */
double maxSentBytes(const Totals &from, const Totals &to, const Totals &idleStart, double idleShare)
{
    double maximum = 0;
    for (std::size_t instance = 0; instance < to.sentBytes.size(); ++instance) {
        const double idle = static_cast<double>(from.sentBytes[instance] - idleStart.sentBytes[instance]) * idleShare;
        maximum = std::max(maximum, static_cast<double>(to.sentBytes[instance] - from.sentBytes[instance]) - idle);
    }
    return maximum;
}

void printIdle(const ControlBench::Settings &settings, const Totals &from, const Totals &to, std::size_t links, std::ostream &out)
{
    const double time = seconds(from.takenAt, to.takenAt);
    const double instanceSeconds = time * static_cast<double>(settings.instances);
    out << prefix(settings) << " phase=idle seconds=" << time << " max_links=" << links;
    double sum = 0;
    for (std::size_t type = 0; type < to.bytes.size(); ++type) {
        const double bytes = static_cast<double>(to.bytes[type] - from.bytes[type]) / instanceSeconds;
        sum += bytes;
        if (bytes > 0) {
            out << ' ' << messageTypeName(type) << "_bytes_per_s=" << bytes;
        }
    }
    out << " sent_bytes_per_s=" << sum << " most_sent_bytes_per_s=" << maxSentBytes(from, to, from, 0) / time
        << " messages_per_s=" << static_cast<double>(to.messages - from.messages) / instanceSeconds
        << " cpu_percent=" << 100 * (to.cpuSeconds - from.cpuSeconds) / instanceSeconds
        << " platform_reads_per_s=" << static_cast<double>(to.platformReads - from.platformReads) / time
        << " platform_writes_per_s=" << static_cast<double>(to.platformWrites - from.platformWrites) / time << '\n';
}

/** Prints the traffic of the changes, less the idle traffic of the same length of time. */
void printChanges(const ControlBench::Settings &settings, const Totals &idleStart, const Totals &from, const Totals &to, double longestWait,
    std::ostream &out)
{
    const double idleRatio = seconds(from.takenAt, to.takenAt) / seconds(idleStart.takenAt, from.takenAt);
    const double instanceChanges = static_cast<double>(settings.instances * settings.changes);
    out << prefix(settings) << " phase=change changes=" << settings.changes;
    double sum = 0;
    for (std::size_t type = 0; type < to.bytes.size(); ++type) {
        const double idle = static_cast<double>(from.bytes[type] - idleStart.bytes[type]) * idleRatio;
        const double bytes = (static_cast<double>(to.bytes[type] - from.bytes[type]) - idle) / instanceChanges;
        sum += bytes;
        if (to.bytes[type] > from.bytes[type]) {
            out << ' ' << messageTypeName(type) << "_bytes=" << bytes;
        }
    }
    const double changes = static_cast<double>(settings.changes);
    out << " sent_bytes_per_change=" << sum << " most_sent_bytes_per_change=" << maxSentBytes(from, to, idleStart, idleRatio) / changes
        << " cpu_ms_per_change=" << 1000 * (to.cpuSeconds - from.cpuSeconds) / instanceChanges
        << " mean_in_force_ms=" << 1000 * seconds(from.takenAt, to.takenAt) / changes << " slowest_in_force_ms=" << 1000 * longestWait
        << " platform_reads_per_change=" << static_cast<double>(to.platformReads - from.platformReads) / changes << '\n';
}

} // namespace

bool ControlBench::run(const Settings &settings, std::ostream &out)
{
    ControlCluster cluster(settings);
    if (!cluster.start()) {
        return false;
    }
    const Totals idleStart = cluster.totals();
    cluster.runFor(settings.idleTime);
    const Totals from = cluster.totals();
    printIdle(settings, idleStart, from, cluster.maxLinks(), out);
    double longestWait = 0;
    for (std::size_t number = 0; number < settings.changes; ++number) {
        const TimePoint start = cluster.now();
        if (!cluster.publishAndWait(number + 2)) {
            return false;
        }
        longestWait = std::max(longestWait, seconds(start, cluster.now()));
    }
    printChanges(settings, idleStart, from, cluster.totals(), longestWait, out);
    return true;
}

bool ControlBench::runAll(std::uint64_t seed, std::ostream &out)
{
    bool complete = true;
    for (const std::size_t instances : { 8, 16, 32, 64 }) {
        Settings settings;
        settings.instances = instances;
        settings.seed = seed;
        complete = run(settings, out) && complete;
        settings.failureDomains = instances / instancesPerDomain;
        if (settings.failureDomains > 1) {
            complete = run(settings, out) && complete;
        }
    }
    return complete;
}

} // namespace Samphirepitch
