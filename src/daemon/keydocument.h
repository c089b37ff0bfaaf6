#pragma once

#include "daemon/keyfinding.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Samphirepitch
{

/** Unchecked value of a TOML file; std::monostate for a type that no key can have. */
using RawValue = std::variant<std::monostate, std::string, std::int64_t, double, bool, std::vector<std::string>>;

/** Unchecked value of a key with its place in the file. */
struct RawKey {
    std::size_t line = 0;
    RawValue value;
    std::string seen; /**< the value as TOML text, for findings */
};

/** Keys of a table and of its nested tables; the names of nested keys are joined by dots. */
struct KeySection {
    std::size_t line = 0;
    std::string prefix; /**< prefix of the key names in findings, such as "group[0]." */
    std::map<std::string, RawKey> keys;
};

/** A parsed TOML file, flattened to dotted keys and arrays of tables. */
class KeyDocument
{
public:
    /**
     * Parses TOML.
     * @param text content of the file
     * @param file file name for findings
     * @return the document, or one finding that describes the syntax error
     */
    static tl::expected<KeyDocument, KeyFindings> parse(std::string_view text, std::string file);

    /** Reads and parses a file. @return the document, or one finding if the file cannot be read or has a syntax error */
    static tl::expected<KeyDocument, KeyFindings> load(const std::string &file);

    const std::string &file() const;
    const KeySection &root() const;

    /** Returns the tables of the array @p name; empty if there is none. */
    const std::vector<KeySection> &sections(const std::string &name) const;

    /** Adds a finding for each array of tables that is not named @p known; @p known is empty if none is allowed. */
    void checkSections(std::string_view known, KeyFindings &findings) const;

private:
    std::string m_file;
    KeySection m_root;
    std::map<std::string, std::vector<KeySection>> m_sections;
};

} // namespace Samphirepitch
