#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Samphirepitch
{

/** Whether a finding stops a change. */
enum class FindingSeverity {
    Warning, /**< Worth a look; the change can be applied. */
    Error, /**< Nothing is published. */
};

/** One result of reading or checking a configuration. */
struct Finding {
    FindingSeverity severity = FindingSeverity::Error;
    std::string file; /**< file that was read; empty if unknown */
    std::uint32_t line = 0; /**< line in the file, from 1; 0 if unknown */
    std::string object; /**< such as "service pondwatch" or "server pond/pond-01" */
    std::string field; /**< key in the file; empty if the finding is about the whole object */
    std::string value; /**< value seen, shortened */
    std::string remedy; /**< what is allowed or what to do */

    /** Returns one line for people. */
    std::string describe() const;

    friend bool operator==(const Finding &, const Finding &) = default;
};

/** Returns whether one of @p findings is an error. */
bool hasErrors(const std::vector<Finding> &findings);

} // namespace Samphirepitch
