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

/**
 * Reads the fields of a TOML table. Missing required keys, values of a wrong type and values out of range are reported as
 * findings; the variable for the field then keeps its value.
 */
class TableReader
{
public:
    /**
     * @param table the table to read; must outlive the reader
     * @param file file name for findings
     * @param object kind of the object for findings, such as "service"; setObject() adds the name once it is known
     * @param findings receives the findings; must outlive the reader
     */
    TableReader(const toml::table &table, std::string file, std::string object, std::vector<Finding> &findings);

    void setObject(std::string object);
    const std::string &object() const;

    /** Returns the line on which the table starts, counted from 1. */
    std::uint32_t line() const;

    /**
     * Read the field @p key into the last variable if the table has the key. A missing @p required field is a finding.
     * Numbers and milliseconds must be integers of @p minimum..@p maximum. Arrays of strings are sorted.
     */
    void text(std::string_view key, std::string &value, bool required = false);
    void endpoint(std::string_view key, Endpoint &value, bool required = false);
    void texts(std::string_view key, std::vector<std::string> &values);
    void number(std::string_view key, std::uint32_t &value, std::uint32_t minimum, std::uint32_t maximum);
    void milliseconds(std::string_view key, std::chrono::milliseconds &value, std::uint32_t minimum, std::uint32_t maximum);

    /** Reads the name of an enumerator; @p enumerators lists the allowed names and their values. */
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

    /** Calls @p read for each table of the array of tables @p key. */
    void forEachTable(std::string_view key, const std::function<void(const toml::table &)> &read);

    /** Reports each key of the table that no earlier call has read as unknown. */
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
