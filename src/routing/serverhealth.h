#pragma once

#include "core/clock.h"

#include <cstdint>
#include <vector>

namespace Samphirepitch
{

/**
 * Which backend servers an instance holds for down. What the instance saw on its own flows counts more than states that were
 * spread by other instances, as long as it is recent; both carry the time at which they were seen.
 */
class ServerHealth
{
public:
    /** Own observations are believed for this time; after it the spread state counts again. */
    static constexpr std::chrono::seconds ownObservationAge { 5 };

    /** Requests in a row without an answer that make a server down. One can be lost with its datagram. */
    static constexpr std::uint32_t failuresUntilDown = 3;

    /** Notes that the server answered. */
    void recordResponse(std::uint32_t backendServerId, TimePoint now);

    /**
     * Notes that a request of this instance got no answer in time.
     * @param sentAt when it was sent; a server that has answered anything since is slow with this request and not down
     */
    void recordTimeout(std::uint32_t backendServerId, TimePoint sentAt, TimePoint now);

    /**
     * Takes a state that was spread by a prober.
     * @param at when the prober saw it; an older state than the held one is ignored
     */
    void stateReported(std::uint32_t backendServerId, bool up, WallTime at);

    bool isUp(std::uint32_t backendServerId, TimePoint now) const;

private:
    struct State {
        TimePoint respondedAt {}; /**< last answer */
        TimePoint failedAt {}; /**< last request without an answer */
        WallTime reportedAt {};
        std::uint32_t failures = 0;
        bool reportedUp = true;
    };

    State &state(std::uint32_t backendServerId);

    std::vector<State> m_states;
};

} // namespace Samphirepitch
