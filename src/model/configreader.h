#pragma once

#include "model/configset.h"
#include "model/finding.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Samphirepitch
{

class TableReader;

/**
 * Reads configuration objects from TOML. The objects of all texts that are read form one ConfigSet.
 *
 * Objects are [[failure_domain]], [[pool]] with [[pool.server]], [[policy]] and [[service]]. Keys are the snake_case names
 * of the fields; the keys of times end in _ms.
 */
class ConfigReader
{
public:
    static constexpr std::size_t maxFileSize = 64 * 1024 * 1024; /**< bytes; 74,000 servers need about 20 MB */

    /** Adds the objects of the TOML document @p text; findings name @p file as their file. */
    void readText(std::string_view text, const std::string &file);

    /** Adds the objects of the file @p path. An unreadable or too large file is reported as a finding. */
    void readFile(const std::string &path);

    /** Returns all objects read so far. The set must not be published if findings() contains errors. */
    ConfigSet set() const;

    /** Returns the errors found so far: invalid TOML, unknown or missing keys, wrong types and values out of range. */
    const std::vector<Finding> &findings() const;

    /** Returns @p findings with file and line added to those about an object that this reader has read. */
    std::vector<Finding> addLocations(std::vector<Finding> findings) const;

private:
    struct SourceLocation {
        std::string file;
        std::uint32_t line = 0;
    };

    void readName(TableReader &reader, std::string_view kind, std::string &name, std::string_view owner = {});

    ConfigSet::Fields m_fields;
    std::vector<Finding> m_findings;
    std::map<std::string, SourceLocation> m_locations;
    std::string m_file;
};

} // namespace Samphirepitch
