#pragma once

#include "core/endpoint.h"
#include "model/finding.h"

#include <toml++/toml.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Samphirepitch
{

/** Reads the fields of one TOML table and reports each value of a wrong type or range, and each key that was not asked for. */
class TableReader
{
public:
    /**
     * @param table the table to read; outlives the reader
     * @param file name for findings
     * @param object kind of the object, such as "service"; setObject() replaces it once the name is known
     * @param findings where findings are added
     */
    TableReader(const toml::table &table, std::string file, std::string object, std::vector<Finding> &findings);

    void setObject(std::string object);
    const std::string &object() const;

    /** Returns the line on which the table starts. */
    std::uint32_t line() const;

    /** Read a field if the table has it; a @p required field that is missing is a finding. */
    void text(std::string_view key, std::string &value, bool required = false);
    void endpoint(std::string_view key, Endpoint &value, bool required = false);
    void texts(std::string_view key, std::vector<std::string> &values);
    void number(std::string_view key, std::uint32_t &value, std::uint32_t minimum, std::uint32_t maximum);
    void milliseconds(std::string_view key, std::chrono::milliseconds &value, std::uint32_t minimum, std::uint32_t maximum);

    /** Reads a word that stands for an enumerator. */
    template<typename Enum>
    void enumValue(std::string_view key, Enum &value, const std::vector<std::pair<std::string_view, Enum>> &enumerators)
    {
        std::string valueName;
        std::string allowed;
        text(key, valueName);
        for (const auto &[name, enumerator] : enumerators) {
            if (valueName == name) {
                value = enumerator;
                return;
            }
            allowed += (allowed.empty() ? "\"" : ", \"") + std::string(name) + "\"";
        }
        const toml::node *node = m_table.get(key);
        if (node != nullptr && node->is_string()) {
            report(key, node, "use one of " + allowed);
        }
    }

    /** Calls @p read for each table of an array of tables. */
    void forEachTable(std::string_view key, const std::function<void(const toml::table &)> &read);

    /** Reports each key that was not asked for. */
    void reportUnknownKeys();

private:
    const toml::node *find(std::string_view key, bool required);
    void report(std::string_view key, const toml::node *node, std::string remedy);

    const toml::table &m_table;
    std::string m_file;
    std::string m_object;
    std::vector<Finding> &m_findings;
    std::set<std::string, std::less<>> m_knownKeys;
};

} // namespace Samphirepitch
