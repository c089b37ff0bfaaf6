#pragma once

#include "core/clock.h"

#include <cstdint>
#include <vector>

namespace Samphirepitch
{

/**
 * Tracks which backend servers an instance considers down. Recent observations on requests of the instance take precedence over
 * states reported by the instances that probe the server. Each observation and each reported state carries its time.
 */
class ServerHealth
{
public:
    /** Time during which an observation of this instance takes precedence over the reported state. */
    static constexpr std::chrono::seconds ownObservationAge { 5 };

    /** Consecutive requests without a response after which a server is down. A single one can be a lost datagram. */
    static constexpr std::uint32_t failuresUntilDown = 3;

    /** Records that a server responded to this instance. */
    void recordResponse(std::uint32_t backendServerId, TimePoint now);

    /**
     * Records that a request of this instance got no response in time.
     * @param backendServerId RoutedServer::backendServerId
     * @param sentAt time at which the request was sent; if the server has responded to any request since, it is slow with this one
     *        and not down, and the timeout is ignored
     * @param now current time
     */
    void recordTimeout(std::uint32_t backendServerId, TimePoint sentAt, TimePoint now);

    /**
     * Applies a state that was reported by an instance that probes the server.
     * @param backendServerId RoutedServer::backendServerId
     * @param up whether the server is up
     * @param at time at which that instance saw the change; a state older than the known one is ignored
     */
    void stateReported(std::uint32_t backendServerId, bool up, WallTime at);

    /** Returns whether a server is up; a server without observations and reports counts as up. */
    bool isUp(std::uint32_t backendServerId, TimePoint now) const;

private:
    struct State {
        TimePoint respondedAt {}; /**< last response; unset before the first */
        TimePoint failedAt {}; /**< last request without a response */
        WallTime reportedAt {}; /**< time at which the reporting instance saw the change to reportedUp */
        std::uint32_t failures = 0; /**< consecutive requests without a response */
        bool reportedUp = true;
    };

    State &state(std::uint32_t backendServerId);

    std::vector<State> m_states;
};

} // namespace Samphirepitch
