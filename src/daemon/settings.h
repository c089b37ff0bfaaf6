#pragma once

#include "core/endpoint.h"
#include "daemon/keyfinding.h"

#include <tl/expected.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Samphirepitch
{

/** Settings of samphirepitchd that passed all checks; immutable. */
class Settings
{
public:
    /** Values of all keys; settingstable.cpp has their default values and documentation. */
    struct Fields {
        std::string deployment;
        std::string instanceId;
        std::string failureDomain;
        bool isNewId = false;
        std::uint64_t randomSeed = 0;
        Endpoint peerAddress;
        Endpoint peerAnnouncedAddress;
        std::vector<Endpoint> peerSeeds;
        std::string dataPacketFormat;
        Endpoint dataAddress;
        Endpoint dataBackAddress;
        Endpoint fabricReturnAddress;
        std::uint64_t maxFlows = 0;
        Endpoint platformAddress;
        std::chrono::milliseconds serversLongPollWait { 0 };
        std::chrono::milliseconds configurationLongPollWait { 0 };
        bool evacuationsEnabled = false;
        std::chrono::milliseconds evacuationsLongPollWait { 0 };
        bool exchangesLoadReports = false;
        Endpoint metricsAddress;
        Endpoint healthAddress;
        std::string logLevel;
        std::string logFile;
        std::chrono::milliseconds stopTimeout { 0 };
        std::chrono::milliseconds stopLinger { 0 };
        std::uint64_t eventsCapacity = 0;
        std::uint64_t eventsRate = 0;

        friend bool operator==(const Fields &, const Fields &) = default;
    };

    /** A key with different values in two settings. */
    struct Change {
        std::string_view key;
        bool reloadable = false;
        std::string before;
        std::string after;
    };

    /**
     * Parses and checks settings.
     * @param text content of a TOML file
     * @param file file name for findings
     * @return the settings, or all findings
     */
    static tl::expected<Settings, KeyFindings> parse(std::string_view text, const std::string &file);

    /** Reads, parses and checks the settings in a TOML file. @return the settings, or all findings */
    static tl::expected<Settings, KeyFindings> load(const std::string &file);

    const Fields &values() const;

    /** Returns the keys whose values differ in @p next. */
    std::vector<Change> changes(const Settings &next) const;

    /** Returns a copy of these settings with the values of the reloadable keys taken from @p next. */
    Settings reloaded(const Settings &next) const;

    friend bool operator==(const Settings &, const Settings &) = default;

private:
    explicit Settings(Fields fields);

    Fields m_fields;
};

} // namespace Samphirepitch
