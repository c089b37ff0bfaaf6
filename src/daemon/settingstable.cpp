#include "daemon/settingstable.h"

namespace Samphirepitch
{

namespace
{

using std::chrono::milliseconds;
using Fields = Settings::Fields;

constexpr double maxNameLength = 64; // bytes
constexpr double maxSeeds = 16; // the control plane refuses more
constexpr double millisecondsPerMinute = 60000;

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
        .documentation = "Peer addresses of instances to contact at start, in addition to the platform's list of instances." };
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
            = "Whether no earlier process used this id within the longest repeat window; if true, the instance accepts non-idempotent "
              "requests at once." }),
        keyRow<&Fields::randomSeed>(
            count("instance.random_seed", 0, 0, 9e15, "Seed of the random number generator; 0 chooses a new seed at each start.")),
        keyRow<&Fields::peerAddress>(address("peer.address", "TCP address for other instances and for samphirepitchctl.")),
        keyRow<&Fields::peerAnnouncedAddress>(optionalAddress(
            "peer.announced_address", "Address at which other stream instances reach this instance, if it differs from peer.address.")),
        keyRow<&Fields::peerSeeds>(seeds()),
        keyRow<&Fields::dataPacketFormat>(text("data.packets", "proxy", "proxy stream",
            "Format of the packets of flows: datagrams with a PROXY header, or segments of byte streams that carry a placement token.")),
        keyRow<&Fields::dataAddress>(address("data.address", "UDP address for packets from the fabric and from other instances.")),
        keyRow<&Fields::dataBackAddress>(optionalAddress(
            "data.back_address", "Local UDP address for packets to and from backend servers; required with PROXY packets.")),
        keyRow<&Fields::fabricReturnAddress>(optionalAddress(
            "data.fabric_return_address", "UDP address of the fabric to which packets for callers are sent; required with PROXY packets.")),
        keyRow<&Fields::maxFlows>(count("data.max_flows", 400000, 1000, 4000000, "Maximum number of flows in the flow table.")),
        keyRow<&Fields::platformAddress>(address("platform.address", "TCP address of the platform's object API.")),
        keyRow<&Fields::serversLongPollWait>(duration("platform.servers_wait_ms", 1000, 100, 30000,
            "Maximum wait time of a long poll for changes of backend servers; also bounds how long a silent connection goes unnoticed.")),
        keyRow<&Fields::configurationLongPollWait>(duration("platform.configuration_wait_ms", 1000, 100, 30000,
            "Maximum wait time of a long poll for a new configuration of stream flows.")),
        keyRow<&Fields::evacuationsEnabled>({ .key = "evacuation.enabled",
            .defaultValue = false,
            .documentation = "Whether no new stream flow is sent to servers in failure domains that an operator evacuates." }),
        keyRow<&Fields::evacuationsLongPollWait>(duration("evacuation.wait_ms", 4000, 100, 30000,
            "Maximum wait time of a long poll for evacuations; also bounds how long a silent connection goes unnoticed.")),
        keyRow<&Fields::exchangesLoadReports>({ .key = "load.reports",
            .defaultValue = false,
            .documentation = "Whether stream instances tell each other about the load and the response times that they see, and hold back "
                             "less urgent requests while a service is short." }),
        keyRow<&Fields::metricsAddress>({ .key = "metrics.address",
            .defaultValue = Endpoint(),
            .documentation = "TCP address of GET /metrics and /healthz; empty for none." }),
        keyRow<&Fields::healthAddress>({ .key = "health.address",
            .defaultValue = Endpoint(),
            .documentation = "Second TCP address of GET /metrics and /healthz, for health checks by the fabric; empty for none." }),
        keyRow<&Fields::logLevel>(
            reloadable(text("log.level", "info", "info warning error", "Lowest severity for which a line is logged."))),
        keyRow<&Fields::logFile>(text("log.file", "", "",
            "Log file; empty for standard output. A line that standard output is not ready to accept is lost and counted.")),
        keyRow<&Fields::stopTimeout>(reloadable(duration("stop.timeout_ms", 30000, 100, 60 * millisecondsPerMinute,
            "Time after which a graceful stop ends the process; should be longer than the longest repeat window of a policy."))),
        keyRow<&Fields::stopLinger>(reloadable(duration("stop.linger_ms", 1500, 0, 60000,
            "Time for which a leaving instance without pending requests still forwards packets, so that the fabric can notice."))),
        keyRow<&Fields::eventsCapacity>(count("events.capacity", 4096, 16, 1000000,
            "Maximum number of events kept in memory at a time; the oldest are dropped and counted.")),
        keyRow<&Fields::eventsRate>(reloadable(
            count("events.rate", 20, 1, 10000, "Maximum number of events of one name per second; more are suppressed and counted."))),
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
