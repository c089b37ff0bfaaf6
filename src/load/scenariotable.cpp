#include "load/scenariotable.h"

namespace Samphirepitch
{

namespace
{

using std::chrono::milliseconds;

constexpr double hours = 3600000; // milliseconds
constexpr double maxWork = 60000000; // microseconds
constexpr double maxBody = 8192; // bytes; a datagram is at most 65,507 bytes
constexpr double maxRate = 1000000; // requests per second

KeySpec timing(std::string_view key, int defaultValue, std::string_view documentation)
{
    return { .key = key, .defaultValue = milliseconds(defaultValue), .max = 24 * hours, .documentation = documentation };
}

KeySpec count(std::string_view key, std::uint64_t defaultValue, double max, std::string_view documentation)
{
    return { .key = key, .defaultValue = defaultValue, .max = max, .documentation = documentation };
}

KeySpec number(std::string_view key, double defaultValue, double max, std::string_view documentation)
{
    return { .key = key, .defaultValue = defaultValue, .max = max, .documentation = documentation };
}

KeySpec text(std::string_view key, std::string defaultValue, std::string_view documentation)
{
    return { .key = key, .defaultValue = std::move(defaultValue), .min = 1, .max = 128, .documentation = documentation };
}

KeySpec required(std::string_view key, double max, std::string_view documentation)
{
    return { .key = key, .min = 1, .max = max, .documentation = documentation };
}

std::vector<KeyRow<Scenario::Fields>> makeScenarioTable()
{
    using Fields = Scenario::Fields;
    return {
        keyRow<&Fields::name>(required("name", 64, "Name of the scenario for reports.")),
        keyRow<&Fields::seed>(count("seed", 1, 9e15, "Seed of all random decisions.")),
        keyRow<&Fields::duration>(timing("duration_ms", 10000, "Time in which requests are sent.")),
        keyRow<&Fields::drain>(timing("drain_ms", 3000, "Time to wait for the last answers.")),
    };
}

std::vector<KeyRow<CallerProfile>> makeProfileTable()
{
    using Fields = CallerProfile;
    return {
        keyRow<&Fields::name>(required("name", 64, "Name of the group for reports.")),
        keyRow<&Fields::service>(required("service", 0, "Service address.")),
        keyRow<&Fields::source>(text("source", "127.30.0.1", "First address that callers bind.")),
        keyRow<&Fields::sources>(count("sources", 4, 65536, "Number of consecutive addresses that callers bind.")),
        keyRow<&Fields::flows>(required("flows", 100000, "Flows that are open at the same time, one socket each.")),
        keyRow<&Fields::flowLifetime>(timing("flow_lifetime_ms", 0,
            "Mean time after which a flow without pending requests ends and a new "
            "one starts; 0 keeps flows for the whole run.")),
        keyRow<&Fields::feedInterval>(timing("feed_interval_ms", 0, "Time between two notifications on each flow; 0 for none.")),
        keyRow<&Fields::feedBytes>(count("feed_bytes", 64, maxBody, "Body of a notification.")),
        keyRow<&Fields::method>(text("method", "checkin", "Method of the requests.")),
        keyRow<&Fields::idempotent>({ .key = "idempotent",
            .defaultValue = false,
            .documentation = "Whether the service's policy declares the method idempotent." }),
        keyRow<&Fields::rate>(number("rate", 0, maxRate, "Requests per second of the group.")),
        keyRow<&Fields::peakRate>(number("peak_rate", 0, maxRate, "Requests per second in the second half of each swing.")),
        keyRow<&Fields::swingPeriod>(timing("swing_period_ms", 0, "Length of a demand swing; 0 for a constant rate.")),
        keyRow<&Fields::workUs>(count("work_us", 1000, maxWork, "Work of a request, in microseconds.")),
        keyRow<&Fields::bodyBytes>(count("body_bytes", 64, maxBody, "Body of a request, which the server sends back.")),
        keyRow<&Fields::stragglerFraction>(number("straggler_fraction", 0, 1, "Share of requests with long work (stragglers).")),
        keyRow<&Fields::stragglerWorkUs>(count("straggler_work_us", 100000, maxWork, "Work of a straggler, in microseconds.")),
        keyRow<&Fields::timeout>(timing("timeout_ms", 5000, "Time after which a caller gives up a request; the outcome is then unknown.")),
        keyRow<&Fields::repeatAfter>(timing("repeat_after_ms", 0, "Time after which an unanswered request is sent again; 0 for never.")),
        keyRow<&Fields::repeatLimit>(count("repeat_limit", 2, 100, "How often an unanswered request is sent again.")),
    };
}

} // namespace

const std::vector<KeyRow<Scenario::Fields>> &scenarioTable()
{
    static const std::vector<KeyRow<Scenario::Fields>> table = makeScenarioTable();
    return table;
}

const std::vector<KeyRow<CallerProfile>> &callerProfileTable()
{
    static const std::vector<KeyRow<CallerProfile>> table = makeProfileTable();
    return table;
}

} // namespace Samphirepitch
