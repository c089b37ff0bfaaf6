#pragma once

#include "core/clock.h"
#include "core/eventsink.h"
#include "core/random.h"
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

/** Finds the backend server of a new flow: who may take it, and what is known of each, for a selector to choose from. */
class FlowPlacement
{
public:
    /** What the placement looks at; everything outlives it. */
    struct Dependencies {
        const Clock &clock;
        RandomSource &random;
        EventSink &events;
        const ServerSelector &selector;
        const ServerDirectory &directory;
        const ServerFailureDetector &failureDetector;
        const ServerLatencyTracker &latencyTracker;
        const FlowTracker &flows;
    };

    /** The server of a new flow, and how it compared. */
    struct Choice {
        const DirectoryRecord *record = nullptr;
        StreamCandidate candidate;
    };

    /**
     * Servers of the own domain, and of all domains, that are compared for one flow. More are sampled: the best of so many is nearly as
     * empty as the best of all, and a placement costs the same with 100 servers as with 74,000.
     */
    static constexpr std::size_t localSampleSize = 64;
    static constexpr std::size_t globalSampleSize = 64;

    /** Servers at least this many times slower than others are logged as slow, until they are slower by less than the second figure. */
    static constexpr double slowThreshold = 2;
    static constexpr double recoveredThreshold = 1.2;

    /** @param failureDomain of this instance; its servers are preferred */
    FlowPlacement(Dependencies dependencies, std::string failureDomain);

    /** Returns the service of a new flow, drawn by the weights of the route's targets. */
    const std::string &targetService(const StreamRoute &route);

    /**
     * Chooses a server.
     * @param excludedToken of a server that did not answer this client; taken only if no other is there
     * @param confirmationGapEnd when the list of servers was confirmed again after a gap
     * @return nothing if no server can take the flow
     */
    std::optional<Choice> choose(const std::string &service, std::uint32_t excludedToken, TimePoint confirmationGapEnd);

    /** Forgets a server. */
    void forget(std::uint32_t token);

    /** Returns how many servers are logged as slow. */
    std::size_t slowCount() const;

private:
    std::vector<const DirectoryRecord *> sample(const std::vector<const DirectoryRecord *> &servers, std::size_t count);
    std::optional<Choice> chooseFrom(std::vector<Choice> choices);
    std::vector<Choice> candidates(const std::string &service, std::uint32_t excludedToken, TimePoint confirmationGapEnd, bool sampled);
    void addCandidate(const DirectoryRecord &record, bool isLastResort, std::vector<Choice> &choices) const;
    std::vector<const DirectoryRecord *> recentlyUnlisted(const std::string &service, TimePoint confirmationGapEnd) const;
    void logSlowdownChange(const Choice &choice);

    Dependencies m_dependencies;
    std::string m_failureDomain;
    std::unordered_set<std::uint32_t> m_slowServers; // servers that were logged as slow
};

} // namespace Samphirepitch
