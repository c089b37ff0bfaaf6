#include "model/finding.h"

#include <algorithm>

namespace Samphirepitch
{

std::string Finding::describe() const
{
    std::string text;
    if (!file.empty()) {
        text += file + ":" + (line > 0 ? std::to_string(line) + ":" : "") + " ";
    }
    text += severity == FindingSeverity::Error ? "error: " : "warning: ";
    text += object;
    if (!field.empty()) {
        text += ": " + field + " = " + value;
    }
    return text + ": " + remedy;
}

bool hasErrors(const std::vector<Finding> &findings)
{
    return std::any_of(findings.begin(), findings.end(), [](const Finding &finding) { return finding.severity == FindingSeverity::Error; });
}

} // namespace Samphirepitch
