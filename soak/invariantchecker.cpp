#include "soak/invariantchecker.h"

namespace Samphirepitch::Soak
{

void InvariantChecker::addViolation(const std::string &what)
{
    m_violations.push_back(what);
}

void InvariantChecker::recordRun(std::uint64_t request, bool idempotent)
{
    if (++m_runs[request] > 1 && !idempotent) {
        addViolation("request " + std::to_string(request) + " ran more than once");
    }
}

void InvariantChecker::recordServed(std::uint64_t request)
{
    ++m_served;
    if (!m_runs.contains(request)) {
        addViolation("request " + std::to_string(request) + " was answered but never ran");
    }
}

void InvariantChecker::recordFailed(std::uint64_t)
{
    ++m_failed;
}

const std::vector<std::string> &InvariantChecker::violations() const
{
    return m_violations;
}

std::uint64_t InvariantChecker::servedCount() const
{
    return m_served;
}

std::uint64_t InvariantChecker::failedCount() const
{
    return m_failed;
}

} // namespace Samphirepitch::Soak
