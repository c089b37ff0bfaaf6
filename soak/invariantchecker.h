#pragma once

#include "core/endpoint.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Samphirepitch::Soak
{

/** What callers and servers saw, and which promises that breaks. */
class InvariantChecker
{
public:
    /** A promise is broken. */
    void addViolation(const std::string &what);

    /** A server began to run a request. */
    void recordRun(std::uint64_t request, bool idempotent);

    /** A caller got the answer to its request, or gave the request up. */
    void recordServed(std::uint64_t request);
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
