#pragma once

#include "core/endpoint.h"

#include <chrono>
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
    using Time = std::chrono::steady_clock::time_point;

    /** The platform's bound (5,000 ms) from the acknowledgement of an evacuation until no new flow reaches the domain. */
    static constexpr std::chrono::milliseconds evacuationBound { 5000 };

    /** Records the violation of an invariant, described by @p what. */
    void addViolation(const std::string &what);

    /** Records that a server runs @p request. A second run is a violation unless the request is @p idempotent. */
    void recordRun(std::uint64_t request, bool idempotent);

    /** Records that a client received the response to @p request. A response without a run is a violation. */
    void recordServed(std::uint64_t request);

    /** Records that a client gave up @p request, or a flow that did not open. */
    void recordFailed(std::uint64_t request);

    /**
     * Records that an instance treats flows as @p version of the configuration or a newer one requires.
     * @param process name of the instance's process; differs after a restart
     * @param at when a client or server observed it
     */
    void recordAppliedVersion(const std::string &process, std::uint64_t version, Time at);

    /**
     * Records that a process treated a new flow as only configurations older than @p version allow. That is a violation if the flow
     * was opened after @p dueAt, or more than @p rollbackSlack after the process applied the version.
     * @param openedAt when the client opened the flow
     * @param dueAt time from which all instances have to apply the version
     */
    void recordOlderVersion(
        const std::string &process, std::uint64_t version, Time openedAt, Time dueAt, std::chrono::milliseconds rollbackSlack);

    /**
     * Records that a server in an evacuated domain accepted a new flow. That is a violation later than @c evacuationBound after the begin
     * and after the last fault that may have kept the evacuation from the instance that sent the flow.
     * @param server id of the server
     * @param at when the server accepted the flow
     * @param begunAt when the store accepted the evacuation, or the server's place in that domain if that was later
     * @param disturbedAt last time at which the store or the instance was seen with a fault
     */
    void recordFlowInEvacuatedDomain(const std::string &server, const std::string &domain, Time at, Time begunAt, Time disturbedAt);

    /**
     * Records that a server accepted a new flow on a route that the newest configuration lacks. That is a violation later than @p dueAt.
     * @param server id of the server
     * @param at when the server accepted the flow
     * @param removedAt when the store accepted the configuration without the route
     * @param dueAt time from which the instance that sent the flow has to apply it
     */
    void recordFlowOnRemovedRoute(const std::string &server, Time at, Time removedAt, Time dueAt);

    /** Returns the newest version that @p process was seen to apply, or 0. */
    std::uint64_t appliedVersion(const std::string &process) const;

    const std::vector<std::string> &violations() const;
    std::uint64_t servedCount() const;
    std::uint64_t failedCount() const;

private:
    struct AppliedVersion {
        std::uint64_t version = 0;
        Time since; // when it was first observed
    };

    /** Records a violation, with the time @p age since the invariant began to hold, unless the same one was recorded before. */
    void addViolationOnce(const std::string &what, std::chrono::steady_clock::duration age);

    std::vector<std::string> m_violations;
    std::map<std::uint64_t, int> m_runs;
    std::map<std::string, AppliedVersion> m_appliedVersions; // by process
    std::set<std::string> m_reported;
    std::uint64_t m_served = 0;
    std::uint64_t m_failed = 0;
};

} // namespace Samphirepitch::Soak
