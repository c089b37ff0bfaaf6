#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Samphirepitch
{

/** Whether a finding prevents a change from being published. */
enum class FindingSeverity {
    Warning, /**< The change can be published. */
    Error, /**< The change is not published. */
};

/** An error or warning about a configuration. */
struct Finding {
    FindingSeverity severity = FindingSeverity::Error;
    std::string file; /**< file that was read; empty if unknown */
    std::uint32_t line = 0; /**< line in the file, from 1; 0 if unknown */
    std::string object; /**< kind and name, such as "service pondwatch" or "server pond/pond-01" */
    std::string field; /**< key in the file; empty if the finding is about the whole object */
    std::string value; /**< the value found, possibly shortened */
    std::string remedy; /**< allowed values, or how to correct the configuration */

    /** Returns a one-line message in the format of compilers: file, line, severity and text. */
    std::string describe() const;

    friend bool operator==(const Finding &, const Finding &) = default;
};

/** Returns whether any of @p findings is an error. */
bool hasErrors(const std::vector<Finding> &findings);

} // namespace Samphirepitch
