#include "model/internal/tablereader.h"

#include <algorithm>
#include <optional>
#include <sstream>

namespace Samphirepitch
{

namespace
{

constexpr std::size_t maxValueSize = 64; // bytes; longer values are shortened in findings

std::string valueText(const toml::node *node)
{
    if (node == nullptr) {
        return "(missing)";
    }
    std::ostringstream stream;
    node->visit([&stream](const auto &value) { stream << value; });
    std::string text = stream.str();
    std::replace(text.begin(), text.end(), '\n', ' ');
    if (text.size() > maxValueSize) {
        text.resize(maxValueSize);
        text += "...";
    }
    return text;
}

} // namespace

TableReader::TableReader(const toml::table &table, std::string file, std::string object, std::vector<Finding> &findings)
    : m_table(table)
    , m_file(std::move(file))
    , m_object(std::move(object))
    , m_findings(findings)
{
}

void TableReader::setObject(std::string object)
{
    m_object = std::move(object);
}

const std::string &TableReader::object() const
{
    return m_object;
}

std::uint32_t TableReader::line() const
{
    return m_table.source().begin.line;
}

const toml::node *TableReader::find(std::string_view key, bool required)
{
    m_knownKeys.emplace(key);
    const toml::node *node = m_table.get(key);
    if (node == nullptr && required) {
        report(key, nullptr, "the key is required");
    }
    return node;
}

void TableReader::report(std::string_view key, const toml::node *node, std::string remedy)
{
    Finding finding;
    finding.file = m_file;
    finding.line = node != nullptr ? node->source().begin.line : line();
    finding.object = m_object;
    finding.field = std::string(key);
    finding.value = valueText(node);
    finding.remedy = std::move(remedy);
    m_findings.push_back(std::move(finding));
}

void TableReader::text(std::string_view key, std::string &value, bool required)
{
    const toml::node *node = find(key, required);
    if (node == nullptr) {
        return;
    }
    if (const auto content = node->value_exact<std::string>()) {
        value = *content;
    } else {
        report(key, node, "use a string");
    }
}

void TableReader::endpoint(std::string_view key, Endpoint &value, bool required)
{
    const toml::node *node = find(key, required);
    if (node == nullptr) {
        return;
    }
    const auto content = node->value_exact<std::string>();
    const auto parsed = Endpoint::parse(content.value_or(""));
    if (parsed) {
        value = *parsed;
    } else {
        report(key, node, "use a string \"a.b.c.d:port\" with a port of 1..65535");
    }
}

void TableReader::texts(std::string_view key, std::vector<std::string> &values)
{
    const toml::node *node = find(key, false);
    if (node == nullptr) {
        return;
    }
    const toml::array *array = node->as_array();
    if (array == nullptr) {
        report(key, node, "use an array of strings");
        return;
    }
    for (const toml::node &item : *array) {
        if (const auto content = item.value_exact<std::string>()) {
            values.push_back(*content);
        } else {
            report(key, &item, "use an array of strings");
        }
    }
    std::sort(values.begin(), values.end());
}

void TableReader::number(std::string_view key, std::uint32_t &value, std::uint32_t minimum, std::uint32_t maximum)
{
    const toml::node *node = find(key, false);
    if (node == nullptr) {
        return;
    }
    const auto content = node->value_exact<std::int64_t>();
    if (content && *content >= minimum && *content <= maximum) {
        value = static_cast<std::uint32_t>(*content);
    } else {
        report(key, node, "use a whole number of " + std::to_string(minimum) + ".." + std::to_string(maximum));
    }
}

void TableReader::milliseconds(std::string_view key, std::chrono::milliseconds &value, std::uint32_t minimum, std::uint32_t maximum)
{
    auto count = static_cast<std::uint32_t>(value.count());
    number(key, count, minimum, maximum);
    value = std::chrono::milliseconds(count);
}

void TableReader::forEachTable(std::string_view key, const std::function<void(const toml::table &)> &read)
{
    const toml::node *node = find(key, false);
    if (node == nullptr) {
        return;
    }
    const toml::array *array = node->as_array();
    if (array == nullptr || !array->is_homogeneous<toml::table>()) {
        report(key, node, "write each object as [[" + std::string(key) + "]]");
        return;
    }
    for (const toml::node &item : *array) {
        read(*item.as_table());
    }
}

void TableReader::reportUnknownKeys()
{
    std::string allowed;
    for (const std::string &key : m_knownKeys) {
        allowed += (allowed.empty() ? "" : ", ") + key;
    }
    for (const auto &[key, node] : m_table) {
        if (!m_knownKeys.contains(key.str())) {
            report(key.str(), &node, "unknown key; allowed are " + allowed);
        }
    }
}

} // namespace Samphirepitch
