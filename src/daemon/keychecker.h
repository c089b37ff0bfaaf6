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

/** What is known of one key: type, default, allowed range and documentation. */
struct KeySpec {
    std::string_view key; /**< dotted name */
    KeyKind kind = KeyKind::Text;
    std::optional<KeyValue> defaultValue; /**< the default; a key without one is required */
    double min = 0; /**< of numbers, or the least size of a text or list */
    double max = 0; /**< of numbers, or the largest size of a text or list */
    std::string_view choices; /**< allowed texts separated by spaces; empty if any text is allowed */
    bool reloadable = false; /**< whether SIGHUP applies a changed value */
    std::string_view documentation;

    /** Returns what is allowed, for findings and the reference page. */
    std::string allowed() const;
};

/** Checks the keys of a section against their specifications. */
class KeyChecker
{
public:
    /**
     * @param file name for findings
     * @param findings gets each fault
     */
    KeyChecker(std::string file, KeyFindings &findings);

    /** Reads one key. @return the value or the default; the default or an empty value after a finding */
    KeyValue read(const KeySection &section, const KeySpec &spec);

    /** Adds a finding for each key of @p section that is not among @p known. */
    void checkUnknown(const KeySection &section, std::span<const std::string_view> known);

private:
    void report(const KeySection &section, const KeySpec &spec, std::size_t line, std::string seen);

    std::string m_file;
    KeyFindings &m_findings;
};

} // namespace Samphirepitch
