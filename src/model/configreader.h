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
 * Reads operator objects from TOML. Objects of several texts form one set. Keys are the snake_case names of the fields,
 * times end in _ms, and objects are [[failure_domain]], [[pool]] with [[pool.server]], [[policy]] and [[service]].
 */
class ConfigReader
{
public:
    static constexpr std::size_t maxFileSize = 64 * 1024 * 1024; /**< bytes; 74,000 servers need about 20 MB */

    /** Adds the objects of @p text; @p file names it in findings. */
    void readText(std::string_view text, const std::string &file);

    /** Adds the objects of the file @p path; a file that cannot be read is a finding. */
    void readFile(const std::string &path);

    /** Returns all objects read so far; not meant to be published if findings() has errors. */
    ConfigSet set() const;

    /** Returns what was wrong in the texts: unknown keys, wrong types, values out of range, broken TOML. */
    const std::vector<Finding> &findings() const;

    /** Returns @p findings with file and line of the objects that were read here. */
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
