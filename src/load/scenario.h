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

/** The load that the callers of one group offer; scenariotable.cpp gives the TOML keys, defaults, units and documentation. */
struct CallerProfile {
    std::string name;
    Endpoint service;
    std::string source;
    std::uint64_t sources = 0;
    std::uint64_t flows = 0;
    std::chrono::milliseconds flowLifetime { 0 };
    std::chrono::milliseconds feedInterval { 0 };
    std::uint64_t feedBytes = 0;
    std::string method;
    bool idempotent = false;
    double rate = 0;
    double peakRate = 0;
    std::chrono::milliseconds swingPeriod { 0 };
    std::uint64_t workUs = 0;
    std::uint64_t bodyBytes = 0;
    double stragglerFraction = 0;
    std::uint64_t stragglerWorkUs = 0;
    std::chrono::milliseconds timeout { 0 };
    std::chrono::milliseconds repeatAfter { 0 };
    std::uint64_t repeatLimit = 0;

    friend bool operator==(const CallerProfile &, const CallerProfile &) = default;
};

/** The load of a run: an immutable value that has passed all checks. */
class Scenario
{
public:
    /** The values of all keys. */
    struct Fields {
        std::string name;
        std::uint64_t seed = 0;
        std::chrono::milliseconds duration { 0 };
        std::chrono::milliseconds drain { 0 };
        std::vector<CallerProfile> groups;

        friend bool operator==(const Fields &, const Fields &) = default;
    };

    explicit Scenario(Fields fields);

    /**
     * Parses a scenario.
     * @param text content of a TOML file
     * @param file name of the file for findings
     * @return the scenario, or all findings
     */
    static tl::expected<Scenario, KeyFindings> parse(std::string_view text, const std::string &file);

    /** Reads and parses the scenario file @p file. @return the scenario, or all findings */
    static tl::expected<Scenario, KeyFindings> load(const std::string &file);

    const Fields &values() const;

    friend bool operator==(const Scenario &, const Scenario &) = default;

private:
    Fields m_fields;
};

} // namespace Samphirepitch
