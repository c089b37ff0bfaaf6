#include "load/scenario.h"

#include "load/scenariotable.h"

#include <set>

namespace Samphirepitch
{

namespace
{

std::size_t lineOf(const KeySection &section, const std::string &key)
{
    const auto found = section.keys.find(key);
    return found == section.keys.end() ? section.line : found->second.line;
}

/** Runs the checks that the key table cannot express: those of several keys, and of the format of addresses. */
class ProfileChecker
{
public:
    ProfileChecker(const KeyDocument &document, KeyFindings &findings)
        : m_document(document)
        , m_findings(findings)
    {
    }

    void check(const KeySection &section, const CallerProfile &profile)
    {
        if (!Endpoint::parse(profile.source + ":1")) {
            report(section, "source", '"' + profile.source + '"', "an IPv4 address");
        }
        if (profile.sources == 0) {
            report(section, "sources", "0", "at least 1");
        }
        if (profile.timeout.count() == 0) {
            report(section, "timeout_ms", "0", "at least 1");
        }
        if (profile.peakRate > 0 && profile.swingPeriod.count() == 0) {
            report(section, "swing_period_ms", "0", "at least 1 if peak_rate is set");
        }
        if (!m_names.insert(profile.name).second) {
            report(section, "name", '"' + profile.name + '"', "a name that no other group has");
        }
    }

private:
    void report(const KeySection &section, const std::string &key, std::string seen, std::string allowed)
    {
        m_findings.push_back({ m_document.file(), lineOf(section, key), section.prefix + key, std::move(seen), std::move(allowed) });
    }

    const KeyDocument &m_document;
    KeyFindings &m_findings;
    std::set<std::string> m_names;
};

tl::expected<Scenario, KeyFindings> check(const KeyDocument &document)
{
    KeyFindings findings;
    document.checkSections("group", findings);
    Scenario::Fields fields = readKeys(scenarioTable(), document.root(), document.file(), findings);
    ProfileChecker checker(document, findings);
    for (const KeySection &section : document.sections("group")) {
        fields.groups.push_back(readKeys(callerProfileTable(), section, document.file(), findings));
        checker.check(section, fields.groups.back());
    }
    if (fields.groups.empty()) {
        findings.push_back({ document.file(), 0, "group", "missing", "at least one [[group]]" });
    }
    if (!findings.empty()) {
        return tl::unexpected(std::move(findings));
    }
    return Scenario(std::move(fields));
}

} // namespace

Scenario::Scenario(Fields fields)
    : m_fields(std::move(fields))
{
}

tl::expected<Scenario, KeyFindings> Scenario::parse(std::string_view text, const std::string &file)
{
    return KeyDocument::parse(text, file).and_then(check);
}

tl::expected<Scenario, KeyFindings> Scenario::load(const std::string &file)
{
    return KeyDocument::load(file).and_then(check);
}

const Scenario::Fields &Scenario::values() const
{
    return m_fields;
}

} // namespace Samphirepitch
