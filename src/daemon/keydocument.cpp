#include "daemon/keydocument.h"

#include <toml++/toml.h>

#include <cerrno>
#include <cstring>
#include <fstream>
#include <sstream>

namespace Samphirepitch
{

namespace
{

constexpr std::size_t maxSeenSize = 80; // bytes of a value that are quoted in a finding

std::string formatNode(const toml::node &node)
{
    std::ostringstream text;
    node.visit([&text](const auto &value) { text << value; });
    std::string seen = text.str();
    return seen.size() > maxSeenSize ? seen.substr(0, maxSeenSize) + "..." : seen;
}

RawValue rawList(const toml::array &array)
{
    std::vector<std::string> values;
    for (const toml::node &element : array) {
        if (!element.is_string()) {
            return {};
        }
        values.push_back(element.as_string()->get());
    }
    return values;
}

RawValue rawValue(const toml::node &node)
{
    if (const auto *text = node.as_string()) {
        return text->get();
    }
    if (const auto *integer = node.as_integer()) {
        return integer->get();
    }
    if (const auto *number = node.as_floating_point()) {
        return number->get();
    }
    if (const auto *flag = node.as_boolean()) {
        return flag->get();
    }
    return node.is_array() ? rawList(*node.as_array()) : RawValue {};
}

bool isTableArray(const toml::node &node)
{
    return node.is_array_of_tables() && !node.as_array()->empty();
}

void flatten(const toml::table &table, const std::string &path, KeySection &section)
{
    for (const auto &[key, node] : table) {
        const std::string name = path + std::string(key.str());
        if (const toml::table *inner = node.as_table()) {
            flatten(*inner, name + '.', section);
        } else if (!(path.empty() && section.prefix.empty() && isTableArray(node))) {
            section.keys[name] = RawKey { node.source().begin.line, rawValue(node), formatNode(node) };
        }
    }
}

KeySection makeSection(const toml::table &table, std::string prefix)
{
    KeySection section { table.source().begin.line, std::move(prefix), {} };
    flatten(table, {}, section);
    return section;
}

} // namespace

tl::expected<KeyDocument, KeyFindings> KeyDocument::parse(std::string_view text, std::string file)
{
    KeyDocument document;
    document.m_file = std::move(file);
    try {
        const toml::table table = toml::parse(text, document.m_file);
        document.m_root = makeSection(table, {});
        for (const auto &[key, node] : table) {
            if (!isTableArray(node)) {
                continue;
            }
            const std::string name(key.str());
            for (const toml::node &element : *node.as_array()) {
                auto &sections = document.m_sections[name];
                sections.push_back(makeSection(*element.as_table(), name + '[' + std::to_string(sections.size()) + "]."));
            }
        }
    } catch (const toml::parse_error &error) {
        return tl::unexpected(KeyFindings {
            KeyFinding { document.m_file, error.source().begin.line, "syntax", std::string(error.description()), "TOML 1.0" } });
    }
    return document;
}

tl::expected<KeyDocument, KeyFindings> KeyDocument::load(const std::string &file)
{
    std::ifstream stream(file, std::ios::binary);
    std::ostringstream text;
    if (!stream || !(text << stream.rdbuf())) {
        return tl::unexpected(KeyFindings { KeyFinding { file, 0, "file", std::strerror(errno), "a readable TOML file with content" } });
    }
    return parse(text.str(), file);
}

const std::string &KeyDocument::file() const
{
    return m_file;
}

const KeySection &KeyDocument::root() const
{
    return m_root;
}

const std::vector<KeySection> &KeyDocument::sections(const std::string &name) const
{
    static const std::vector<KeySection> none;
    const auto found = m_sections.find(name);
    return found == m_sections.end() ? none : found->second;
}

void KeyDocument::checkSections(std::string_view known, KeyFindings &findings) const
{
    for (const auto &[name, sections] : m_sections) {
        if (name != known) {
            findings.push_back({ m_file, sections.front().line, name, "an unknown array of tables",
                known.empty() ? "no arrays of tables" : "[[" + std::string(known) + "]]" });
        }
    }
}

} // namespace Samphirepitch
