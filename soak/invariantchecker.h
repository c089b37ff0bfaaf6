#pragma once

#include "core/endpoint.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Samphirepitch::Soak
{

/** Records what clients and backend servers observe, and which invariants that violates. */
class InvariantChecker
{
public:
    /** Records the violation of an invariant, described by @p what. */
    void addViolation(const std::string &what);

    /** Records that a server runs @p request. A second run is a violation unless the request is @p idempotent. */
    void recordRun(std::uint64_t request, bool idempotent);

    /** Records that a client received the response to @p request. A response without a run is a violation. */
    void recordServed(std::uint64_t request);

    /** Records that a client gave up @p request, or a flow that did not open. */
    void recordFailed(std::uint64_t request);

    const std::vector<std::string> &violations() const;
    std::uint64_t servedCount() const;
    std::uint64_t failedCount() const;

private:
    std::vector<std::string> m_violations;
    std::map<std::uint64_t, int> m_runs;
    std::uint64_t m_served = 0;
    std::uint64_t m_failed = 0;
};

} // namespace Samphirepitch::Soak
