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

/** A value of a TOML file before checking; monostate stands for a type that no key has. */
using RawValue = std::variant<std::monostate, std::string, std::int64_t, double, bool, std::vector<std::string>>;

/** A key with its place in the file. */
struct RawKey {
    std::size_t line = 0;
    RawValue value;
    std::string seen; /**< the value as written */
};

/** The keys of a table and of the tables inside it, with dotted names. */
struct KeySection {
    std::size_t line = 0;
    std::string prefix; /**< what stands before the keys in findings, such as "group[0]." */
    std::map<std::string, RawKey> keys;
};

/** A TOML file as flat keys and arrays of tables. */
class KeyDocument
{
public:
    /**
     * Parses TOML.
     * @param text the content
     * @param file the name for findings
     * @return the document, or the syntax error
     */
    static tl::expected<KeyDocument, KeyFindings> parse(std::string_view text, std::string file);

    /** Reads and parses a file. */
    static tl::expected<KeyDocument, KeyFindings> load(const std::string &file);

    const std::string &file() const;
    const KeySection &root() const;

    /** Returns the tables of the array @p name; empty if there is none. */
    const std::vector<KeySection> &sections(const std::string &name) const;

    /** Adds a finding for each array of tables other than @p known. */
    void checkSections(std::string_view known, KeyFindings &findings) const;

private:
    std::string m_file;
    KeySection m_root;
    std::map<std::string, std::vector<KeySection>> m_sections;
};

} // namespace Samphirepitch
