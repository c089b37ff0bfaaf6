#include "daemon/settingstable.h"

namespace Samphirepitch
{

namespace
{

using std::chrono::milliseconds;
using Fields = Settings::Fields;

constexpr double maxNameLength = 64; // characters of instance, failure domain and deployment names
constexpr double maxSeeds = 16; // as many as the control plane tries
constexpr double millisecondsPerMinute = 60000; // milliseconds

KeySpec name(std::string_view key, std::string_view documentation)
{
    return { .key = key, .min = 1, .max = maxNameLength, .documentation = documentation };
}

KeySpec address(std::string_view key, std::string_view documentation)
{
    return { .key = key, .documentation = documentation };
}

KeySpec optionalAddress(std::string_view key, std::string_view documentation)
{
    return { .key = key, .defaultValue = Endpoint(), .documentation = documentation };
}

KeySpec duration(std::string_view key, int defaultValue, double min, double max, std::string_view documentation)
{
    return { .key = key, .defaultValue = milliseconds(defaultValue), .min = min, .max = max, .documentation = documentation };
}

KeySpec count(std::string_view key, std::uint64_t defaultValue, double min, double max, std::string_view documentation)
{
    return { .key = key, .defaultValue = defaultValue, .min = min, .max = max, .documentation = documentation };
}

KeySpec text(std::string_view key, std::string defaultValue, std::string_view choices, std::string_view documentation)
{
    return { .key = key, .defaultValue = std::move(defaultValue), .max = 4096, .choices = choices, .documentation = documentation };
}

KeySpec seeds()
{
    return { .key = "peer.seeds",
        .defaultValue = std::vector<Endpoint>(),
        .max = maxSeeds,
        .documentation = "Peer addresses of instances that a starting instance asks, apart from the platform's list." };
}

KeySpec reloadable(KeySpec spec)
{
    spec.reloadable = true;
    return spec;
}

std::vector<KeyRow<Fields>> makeTable()
{
    return {
        keyRow<&Fields::deployment>(name("deployment", "Name of the deployment; instances of other deployments are refused.")),
        keyRow<&Fields::instanceId>(name("instance.id", "Instance id, unique in the deployment.")),
        keyRow<&Fields::failureDomain>(name("instance.failure_domain", "Failure domain of this instance.")),
        keyRow<&Fields::isNewId>({ .key = "instance.new_id",
            .defaultValue = false,
            .documentation
            = "Whether no process ran under this id within the longest repeat window; it then answers first sends at once." }),
        keyRow<&Fields::randomSeed>(count("instance.random_seed", 0, 0, 9e15, "Seed of random delays; 0 takes a new one at each start.")),
        keyRow<&Fields::peerAddress>(address("peer.address", "TCP address for other instances and for samphirepitchctl.")),
        keyRow<&Fields::peerAnnouncedAddress>(
            optionalAddress("peer.announced_address", "Address at which other stream instances reach this one, if not at peer.address.")),
        keyRow<&Fields::peerSeeds>(seeds()),
        keyRow<&Fields::dataPacketFormat>(text("data.packets", "proxy", "proxy stream",
            "Packets of flows: datagrams with a PROXY header, or segments of byte streams that carry a placement token.")),
        keyRow<&Fields::dataAddress>(address("data.address", "UDP address for packets from the fabric and from other instances.")),
        keyRow<&Fields::dataBackAddress>(
            optionalAddress("data.back_address", "UDP address from which backend servers are reached; required with PROXY packets.")),
        keyRow<&Fields::fabricReturnAddress>(optionalAddress(
            "data.fabric_return_address", "UDP address of the fabric for packets to callers; required with PROXY packets.")),
        keyRow<&Fields::maxFlows>(count("data.max_flows", 400000, 1000, 4000000, "Flows that the flow table holds at most.")),
        keyRow<&Fields::platformAddress>(address("platform.address", "TCP address of the platform's object API.")),
        keyRow<&Fields::serversLongPollWait>(duration("platform.servers_wait_ms", 1000, 100, 30000,
            "Longest wait of a call for changes of backend servers; bounds how long a silent connection goes unnoticed.")),
        keyRow<&Fields::configurationLongPollWait>(duration(
            "platform.configuration_wait_ms", 1000, 100, 30000, "Longest wait of a call for a new configuration of stream flows.")),
        keyRow<&Fields::metricsAddress>({ .key = "metrics.address",
            .defaultValue = Endpoint(),
            .documentation = "TCP address of GET /metrics and /healthz; empty for none." }),
        keyRow<&Fields::healthAddress>({ .key = "health.address",
            .defaultValue = Endpoint(),
            .documentation = "A second TCP address of GET /metrics and /healthz, for the fabric's checks; empty for none." }),
        keyRow<&Fields::logLevel>(reloadable(text("log.level", "info", "info warning error", "Least severity that is logged."))),
        keyRow<&Fields::logFile>(text(
            "log.file", "", "", "Log file; empty for the standard output, to which lines are lost and counted rather than waited for.")),
        keyRow<&Fields::stopTimeout>(reloadable(duration("stop.timeout_ms", 30000, 100, 60 * millisecondsPerMinute,
            "Time after which a graceful stop ends the process; longer than the longest repeat window of a policy."))),
        keyRow<&Fields::stopLinger>(reloadable(duration("stop.linger_ms", 1500, 0, 60000,
            "Time for which a leaving instance without pending requests still forwards packets, so that the fabric learns."))),
        keyRow<&Fields::eventsCapacity>(
            count("events.capacity", 4096, 16, 1000000, "Events kept for the time line; the oldest are dropped and counted.")),
        keyRow<&Fields::eventsRate>(
            reloadable(count("events.rate", 20, 1, 10000, "Events of one name a second; more are suppressed and counted."))),
    };
}

std::string referenceRow(const KeySpec &spec)
{
    std::string line = "| `" + std::string(spec.key) + "` | " + std::string(keyKindName(spec.kind)) + " | ";
    line += spec.defaultValue ? '`' + formatKeyValue(*spec.defaultValue) + '`' : "required";
    line += " | " + spec.allowed() + " | " + (spec.reloadable ? "yes" : "no") + " | ";
    return line + std::string(spec.documentation) + " |\n";
}

} // namespace

const std::vector<KeyRow<Fields>> &settingsTable()
{
    static const std::vector<KeyRow<Fields>> table = makeTable();
    return table;
}

std::string settingsReference()
{
    std::string page = "# Settings of samphirepitchd\n\n"
                       "This page is printed by `samphirepitchd --print_settings_reference`; a test compares the two.\n\n"
                       "Settings are one TOML file, given by `--settings FILE`. The file is checked as a whole, and every finding names\n"
                       "file, line, key, the value seen and what is allowed; unknown keys are findings. `--check` only checks. On SIGHUP\n"
                       "the file is read again: keys with \"yes\" under Reload take effect, changes of other keys are reported by the\n"
                       "event `settings_change_ignored` and need a restart.\n\n"
                       "| Key | Type | Default | Allowed | Reload | Meaning |\n| --- | --- | --- | --- | --- | --- |\n";
    for (const auto &row : settingsTable()) {
        page += referenceRow(row.spec);
    }
    return page;
}

} // namespace Samphirepitch
