#include "soak/invariantchecker.h"

#include <algorithm>

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

void InvariantChecker::recordAppliedVersion(const std::string &process, std::uint64_t version, Time at)
{
    AppliedVersion &applied = m_appliedVersions[process];
    if (version > applied.version) {
        applied = { version, at };
    }
}

void InvariantChecker::recordOlderVersion(
    const std::string &process, std::uint64_t version, Time openedAt, Time dueAt, std::chrono::milliseconds rollbackSlack)
{
    const std::string what = process + " has a configuration older than version " + std::to_string(version);
    const auto found = m_appliedVersions.find(process);
    if (found != m_appliedVersions.end() && found->second.version >= version && openedAt > found->second.since + rollbackSlack) {
        addViolationOnce(what + ", which it applied before", openedAt - found->second.since);
    } else if (openedAt > dueAt) {
        addViolationOnce(what + ", which was due", openedAt - dueAt);
    }
}

void InvariantChecker::recordFlowInEvacuatedDomain(
    const std::string &server, const std::string &domain, Time at, Time begunAt, Time disturbedAt)
{
    if (at > std::max(begunAt, disturbedAt) + evacuationBound) {
        addViolationOnce("server " + server + " received a new flow in the evacuated domain " + domain, at - begunAt);
    }
}

void InvariantChecker::recordFlowOnRemovedRoute(const std::string &server, Time at, Time removedAt, Time dueAt)
{
    if (at > dueAt) {
        addViolationOnce("server " + server + " received a new flow on a removed route", at - removedAt);
    }
}

void InvariantChecker::addViolationOnce(const std::string &what, std::chrono::steady_clock::duration age)
{
    if (m_reported.insert(what).second) {
        const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(age);
        addViolation(what + ", first seen after " + std::to_string(milliseconds.count()) + " ms");
    }
}

std::uint64_t InvariantChecker::appliedVersion(const std::string &process) const
{
    const auto found = m_appliedVersions.find(process);
    return found == m_appliedVersions.end() ? 0 : found->second.version;
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
