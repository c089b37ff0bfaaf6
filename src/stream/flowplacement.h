#pragma once

#include "core/clock.h"
#include "core/eventsink.h"
#include "core/random.h"
#include "loadreport/slowdownview.h"
#include "placement/placementpolicy.h"
#include "shortage/serveruse.h"
#include "stream/flowtracker.h"
#include "stream/serverdirectory.h"
#include "stream/serverfailuredetector.h"
#include "stream/serverlatencytracker.h"
#include "stream/serverselector.h"
#include "stream/streamconfiguration.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

namespace Samphirepitch
{

/** Finds the backend server of a new flow: collects the candidates with their load, status and latency, and lets a selector choose. */
class FlowPlacement
{
public:
    /** The objects that the placement uses. All of them must outlive it. */
    struct Dependencies {
        const Clock &clock;
        RandomSource &random;
        EventSink &events;
        const ServerSelector &selector;
        const ServerDirectory &directory;
        const ServerFailureDetector &failureDetector;
        const ServerLatencyTracker &latencyTracker;
        const FlowTracker &flows;
        std::vector<PlacementPolicy *> policies {}; /**< in the order in which they are asked */
    };

    /** The chosen server and the figures that it was compared by. */
    struct Choice {
        const DirectoryRecord *record = nullptr;
        StreamCandidate candidate;
    };

    /**
     * How many servers of the instance's own failure domain, and of all failure domains, are compared for one flow. Larger services
     * are sampled: the best of so many servers is nearly as empty as the best of all, and a placement costs the same with 100 servers
     * as with 74,000.
     */
    static constexpr std::size_t localSampleSize = 64;
    static constexpr std::size_t globalSampleSize = 64;

    /** A server is logged as slow if its slowdown reaches slowThreshold, and as recovered if it falls below recoveredThreshold. */
    static constexpr double slowThreshold = 2;
    static constexpr double recoveredThreshold = 1.2;

    /** @param failureDomain the failure domain of this instance; its servers are preferred */
    FlowPlacement(Dependencies dependencies, std::string failureDomain);

    /** Returns the service of a new flow, drawn at random by the weights of the route's targets. */
    const std::string &targetService(const StreamRoute &route);

    /**
     * Chooses the server of a new flow.
     * @param flow the flow and its service
     * @param excludedToken the token of a server that did not respond to this client, chosen only if there is no other; 0 if none
     * @param confirmationGapEnd when the list of servers was confirmed for the first time after a gap
     * @return the chosen server, or nothing if no server can take the flow
     */
    std::optional<Choice> choose(const NewFlow &flow, std::uint32_t excludedToken, TimePoint confirmationGapEnd);

    /** Returns the first policy that forbids a server to get a flow, or null. */
    const PlacementPolicy *forbiddingPolicy(const DirectoryRecord &record, const NewFlow &flow) const;

    /** Returns whether a policy forbids a server to get a flow so that the server gives its service no capacity. */
    bool isExcluded(const DirectoryRecord &record, const NewFlow &flow) const;

    /** Returns whether a server could take a flow if @p policy didn't forbid it. */
    bool isRestrictedBy(const PlacementPolicy &policy, const NewFlow &flow) const;

    /**
     * Returns whether all servers that could take a flow, also as a last resort, are forbidden by one policy.
     * @param confirmationGapEnd as for choose()
     * @return false if no server could take the flow without the policy either
     */
    bool isForbiddenEverywhere(const PlacementPolicy &policy, const NewFlow &flow, TimePoint confirmationGapEnd) const;

    /** Tells the policies that a flow was placed on a server. */
    void recordPlacement(const DirectoryRecord &record, const NewFlow &flow);

    /** Sets what several instances see of the servers; the larger slowdown of a server counts. The view must outlive this object. */
    void useSlowdownView(const SlowdownView &slowdownView);

    /** Discards the logged state of a server. */
    void forget(std::uint32_t token);

    /** Returns what requests at the server with a token count for. */
    ServerUse serverUse(std::uint32_t token) const;

    /**
     * Returns the requests that the servers of a service which can take new flows can run at the same time. Slow servers don't count.
     * Servers whose entries are missing count as long as they may return: in an outage of the store most entries expire while their servers
     * run.
     * @param confirmationGapEnd as for choose()
     */
    std::uint32_t usableSlots(const std::string &service, TimePoint confirmationGapEnd) const;

    /** Returns whether a server was much slower than others when it was last compared; see slowThreshold. */
    bool isSlow(std::uint32_t token) const;

    /** Returns the number of servers that are currently logged as slow. */
    std::size_t slowCount() const;

private:
    std::vector<const DirectoryRecord *> sample(const std::vector<const DirectoryRecord *> &servers, std::size_t count);
    std::optional<Choice> chooseFrom(std::vector<Choice> choices);
    std::vector<Choice> candidates(const NewFlow &flow, std::uint32_t excludedToken, TimePoint confirmationGapEnd, bool sampled);
    bool couldServe(const DirectoryRecord &record, TimePoint now) const;
    void addCandidate(const DirectoryRecord &record, const NewFlow &flow, bool isLastResort, std::vector<Choice> &choices) const;
    std::vector<const DirectoryRecord *> recentlyUnlisted(const std::string &service, TimePoint confirmationGapEnd) const;
    void logSlowdownChange(const Choice &choice);

    Dependencies m_dependencies;
    std::string m_failureDomain;
    const SlowdownView *m_slowdownView = nullptr;
    std::unordered_set<std::uint32_t> m_slowServers; // tokens of the servers that were logged as slow
};

} // namespace Samphirepitch
