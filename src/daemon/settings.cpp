#include "daemon/settings.h"

#include "daemon/settingstable.h"

namespace Samphirepitch
{

namespace
{

using Fields = Settings::Fields;

std::size_t lineOf(const KeySection &section, const std::string &key)
{
    const auto found = section.keys.find(key);
    return found == section.keys.end() ? 0 : found->second.line;
}

/** Adds a finding if an address is missing. An invalid address already has a finding. */
void requireAddress(const KeyDocument &document, const std::string &key, Endpoint address, KeyFindings &findings)
{
    if (address.isUnset() && lineOf(document.root(), key) == 0) {
        findings.push_back({ document.file(), document.root().line, key, "nothing", "an address, because data.packets is \"proxy\"" });
    }
}

/** Checks the constraints between keys. */
void checkCombinations(const KeyDocument &document, const Fields &fields, KeyFindings &findings)
{
    if (fields.stopLinger > fields.stopTimeout) {
        findings.push_back({ document.file(), lineOf(document.root(), "stop.linger_ms"), "stop.linger_ms",
            std::to_string(fields.stopLinger.count()), "at most stop.timeout_ms" });
    }
    if (fields.dataPacketFormat == "proxy") {
        requireAddress(document, "data.back_address", fields.dataBackAddress, findings);
        requireAddress(document, "data.fabric_return_address", fields.fabricReturnAddress, findings);
    }
    if (!fields.dataAddress.isUnset() && fields.dataAddress == fields.dataBackAddress) {
        findings.push_back({ document.file(), lineOf(document.root(), "data.back_address"), "data.back_address",
            fields.dataBackAddress.toString(), "an address other than data.address" });
    }
    if (!fields.metricsAddress.isUnset() && fields.metricsAddress == fields.peerAddress) {
        findings.push_back({ document.file(), lineOf(document.root(), "metrics.address"), "metrics.address",
            fields.metricsAddress.toString(), "an address other than peer.address" });
    }
}

tl::expected<Fields, KeyFindings> checkDocument(const KeyDocument &document)
{
    KeyFindings findings;
    document.checkSections({}, findings);
    const Fields fields = readKeys(settingsTable(), document.root(), document.file(), findings);
    checkCombinations(document, fields, findings);
    if (!findings.empty()) {
        return tl::unexpected(std::move(findings));
    }
    return fields;
}

} // namespace

Settings::Settings(Fields fields)
    : m_fields(std::move(fields))
{
}

tl::expected<Settings, KeyFindings> Settings::parse(std::string_view text, const std::string &file)
{
    return KeyDocument::parse(text, file).and_then(checkDocument).map([](Fields fields) { return Settings(std::move(fields)); });
}

tl::expected<Settings, KeyFindings> Settings::load(const std::string &file)
{
    return KeyDocument::load(file).and_then(checkDocument).map([](Fields fields) { return Settings(std::move(fields)); });
}

const Settings::Fields &Settings::values() const
{
    return m_fields;
}

std::vector<Settings::Change> Settings::changes(const Settings &next) const
{
    std::vector<Change> changes;
    for (const auto &row : settingsTable()) {
        const KeyValue before = row.load(m_fields);
        const KeyValue after = row.load(next.m_fields);
        if (before != after) {
            changes.push_back({ row.spec.key, row.spec.reloadable, formatKeyValue(before), formatKeyValue(after) });
        }
    }
    return changes;
}

Settings Settings::reloaded(const Settings &next) const
{
    Fields fields = m_fields;
    for (const auto &row : settingsTable()) {
        if (row.spec.reloadable) {
            row.store(fields, row.load(next.m_fields));
        }
    }
    return Settings(std::move(fields));
}

} // namespace Samphirepitch
