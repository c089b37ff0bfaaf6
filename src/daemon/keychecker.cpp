#include "daemon/keychecker.h"

#include <algorithm>
#include <sstream>

namespace Samphirepitch
{

namespace
{

std::string formatNumber(double value)
{
    std::ostringstream text;
    text.precision(15);
    text << value;
    return text.str();
}

bool isInRange(const KeySpec &spec, double value)
{
    return value >= spec.min && value <= spec.max;
}

bool isChoice(std::string_view choices, std::string_view text)
{
    std::istringstream words { std::string(choices) };
    for (std::string word; words >> word;) {
        if (word == text) {
            return true;
        }
    }
    return choices.empty();
}

std::optional<KeyValue> readText(const KeySpec &spec, const RawValue &raw)
{
    const auto *text = std::get_if<std::string>(&raw);
    if (!text || !isInRange(spec, static_cast<double>(text->size())) || !isChoice(spec.choices, *text)) {
        return std::nullopt;
    }
    return *text;
}

std::optional<KeyValue> readInteger(const KeySpec &spec, const RawValue &raw)
{
    const auto *integer = std::get_if<std::int64_t>(&raw);
    if (!integer || *integer < 0 || !isInRange(spec, static_cast<double>(*integer))) {
        return std::nullopt;
    }
    if (spec.kind == KeyKind::Milliseconds) {
        return std::chrono::milliseconds(*integer);
    }
    return static_cast<std::uint64_t>(*integer);
}

std::optional<KeyValue> readNumber(const KeySpec &spec, const RawValue &raw)
{
    const auto *integer = std::get_if<std::int64_t>(&raw);
    const auto *number = std::get_if<double>(&raw);
    if (!integer && !number) {
        return std::nullopt;
    }
    const double value = integer ? static_cast<double>(*integer) : *number;
    return isInRange(spec, value) ? std::optional<KeyValue>(value) : std::nullopt;
}

std::optional<KeyValue> readAddress(const KeySpec &spec, const RawValue &raw)
{
    const auto *text = std::get_if<std::string>(&raw);
    if (text && text->empty() && spec.defaultValue) {
        return Endpoint();
    }
    const auto address = text ? Endpoint::parse(*text) : failure(ErrorKind::Malformed, {}, {});
    return address ? std::optional<KeyValue>(*address) : std::nullopt;
}

std::optional<KeyValue> readAddresses(const KeySpec &spec, const RawValue &raw)
{
    const auto *texts = std::get_if<std::vector<std::string>>(&raw);
    if (!texts || !isInRange(spec, static_cast<double>(texts->size()))) {
        return std::nullopt;
    }
    std::vector<Endpoint> values;
    for (const std::string &text : *texts) {
        const auto address = Endpoint::parse(text);
        if (!address) {
            return std::nullopt;
        }
        values.push_back(*address);
    }
    return values;
}

std::optional<KeyValue> readValue(const KeySpec &spec, const RawValue &raw)
{
    switch (spec.kind) {
    case KeyKind::Text:
        return readText(spec, raw);
    case KeyKind::Integer:
    case KeyKind::Milliseconds:
        return readInteger(spec, raw);
    case KeyKind::Number:
        return readNumber(spec, raw);
    case KeyKind::Flag:
        return std::holds_alternative<bool>(raw) ? std::optional<KeyValue>(std::get<bool>(raw)) : std::nullopt;
    case KeyKind::Address:
        return readAddress(spec, raw);
    case KeyKind::AddressList:
        return readAddresses(spec, raw);
    }
    return std::nullopt;
}

KeyValue emptyValue(KeyKind kind)
{
    switch (kind) {
    case KeyKind::Text:
        return std::string();
    case KeyKind::Integer:
        return std::uint64_t { 0 };
    case KeyKind::Number:
        return 0.0;
    case KeyKind::Flag:
        return false;
    case KeyKind::Milliseconds:
        return std::chrono::milliseconds(0);
    case KeyKind::Address:
        return Endpoint();
    case KeyKind::AddressList:
        return std::vector<Endpoint>();
    }
    return std::string();
}

} // namespace

std::string KeySpec::allowed() const
{
    switch (kind) {
    case KeyKind::Text:
        if (!choices.empty()) {
            return "one of: " + std::string(choices);
        }
        return "text of " + formatNumber(min) + ".." + formatNumber(max) + " characters";
    case KeyKind::Integer:
    case KeyKind::Number:
    case KeyKind::Milliseconds:
        return formatNumber(min) + ".." + formatNumber(max);
    case KeyKind::Flag:
        return "true or false";
    case KeyKind::Address:
        return defaultValue ? "\"a.b.c.d:port\", or \"\" for none" : "\"a.b.c.d:port\"";
    case KeyKind::AddressList:
        return formatNumber(min) + ".." + formatNumber(max) + " of \"a.b.c.d:port\"";
    }
    return {};
}

KeyChecker::KeyChecker(std::string file, KeyFindings &findings)
    : m_file(std::move(file))
    , m_findings(findings)
{
}

KeyValue KeyChecker::read(const KeySection &section, const KeySpec &spec)
{
    const KeyValue valueOnFault = spec.defaultValue.value_or(emptyValue(spec.kind));
    const auto found = section.keys.find(std::string(spec.key));
    if (found == section.keys.end()) {
        if (!spec.defaultValue) {
            report(section, spec, section.prefix.empty() ? 0 : section.line, "missing");
        }
        return valueOnFault;
    }
    if (auto value = readValue(spec, found->second.value)) {
        return *std::move(value);
    }
    report(section, spec, found->second.line, found->second.seen);
    return valueOnFault;
}

void KeyChecker::checkUnknown(const KeySection &section, std::span<const std::string_view> known)
{
    for (const auto &[key, raw] : section.keys) {
        if (std::find(known.begin(), known.end(), key) == known.end()) {
            m_findings.push_back({ m_file, raw.line, section.prefix + key, raw.seen, "no key of this name; see docs/configuration.md" });
        }
    }
}

void KeyChecker::report(const KeySection &section, const KeySpec &spec, std::size_t line, std::string seen)
{
    m_findings.push_back({ m_file, line, section.prefix + std::string(spec.key), std::move(seen), spec.allowed() });
}

} // namespace Samphirepitch
