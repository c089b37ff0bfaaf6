#pragma once

#include "daemon/keydocument.h"
#include "daemon/keyvalue.h"

#include <cstdint>
#include <limits>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace Samphirepitch
{

/** Specification of a key: type, default value, allowed range and documentation. */
struct KeySpec {
    std::string_view key; /**< name with its tables, separated by dots */
    KeyKind kind = KeyKind::Text;
    std::optional<KeyValue> defaultValue; /**< unset if the key is required */
    double min = 0; /**< lowest number, or minimum length of a text (in bytes) or list */
    double max = 0; /**< highest number, or maximum length of a text (in bytes) or list */
    std::string_view choices; /**< allowed texts, separated by spaces; empty if any text is allowed */
    bool reloadable = false; /**< whether a changed value takes effect on SIGHUP */
    std::string_view documentation;

    /** Describes the allowed values, for findings and for the reference page. */
    std::string allowed() const;
};

/** Reads the keys of a section and checks them against their specifications. */
class KeyChecker
{
public:
    /**
     * @param file file name for findings
     * @param findings receives each fault; must outlive this object
     */
    KeyChecker(std::string file, KeyFindings &findings);

    /**
     * Reads and checks one key. Adds a finding if the value is invalid or a required key is missing.
     * @return the value; the default value if the key is missing or invalid; an empty value if there is no default value either
     */
    KeyValue read(const KeySection &section, const KeySpec &spec);

    /** Adds a finding for each key of @p section that is not among @p known. */
    void checkUnknown(const KeySection &section, std::span<const std::string_view> known);

private:
    void report(const KeySection &section, const KeySpec &spec, std::size_t line, std::string seen);

    std::string m_file;
    KeyFindings &m_findings;
};

} // namespace Samphirepitch
