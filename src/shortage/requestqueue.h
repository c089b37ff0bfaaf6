#pragma once

#include "core/clock.h"
#include "core/endpoint.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace Samphirepitch
{

/** A request that waits in this instance until its service has room. */
struct WaitingRequest {
    Endpoint client;
    Endpoint address; /**< service address that the client sent it to */
    std::uint32_t priority = 0; /**< 0 is the most urgent */
    bool opens = false; /**< whether an opening packet waits, and not the data of an open flow */
    double work = 0; /**< expected time at a server in milliseconds; 0 if unknown */
    TimePoint arrivedAt {};
    TimePoint targetDeadline {}; /**< until which it should be sent, so that its response meets the target latency */
    TimePoint deadline {}; /**< until which it may wait at all */

    friend bool operator==(const WaitingRequest &, const WaitingRequest &) = default;
};

/**
 * The requests of one service that wait in this instance, ordered by what their delay costs callers: the more urgent first, then those that
 * can still meet their target latency, then the oldest, then those with the least work.
 *
 * Oldest first makes every request late if more arrive than can be served. That is kept from happening by the two deadlines: opening
 * packets for which there is no time are refused, and data that can't meet its target goes behind all that can.
 */
class RequestQueue
{
public:
    /** Adds a request. The queue must not contain another one of the same flow. */
    void push(WaitingRequest request);

    /** Removes and returns the request whose delay costs most, or nothing if the queue is empty. */
    std::optional<WaitingRequest> pop(TimePoint now);

    /** Removes and returns the most urgent request of a priority, or nothing. */
    std::optional<WaitingRequest> pop(std::uint32_t priority, TimePoint now);

    /** Removes and returns the requests whose deadline has passed. */
    std::vector<WaitingRequest> takeExpired(TimePoint now);

    /**
     * Removes and returns the opening packets that would be sent last, so that at most @p maxOpenings of them remain. Data of open flows
     * stays until its deadline: its client can't be told that there is no room, and would send it again.
     * @param maxOpenings how many requests the service can serve within the time that an opening packet may wait
     */
    std::vector<WaitingRequest> takeExcess(std::size_t maxOpenings, TimePoint now);

    /** Removes the request of a flow. @return whether there was one */
    bool remove(Endpoint client, Endpoint address);

    /** Returns whether a request of a flow waits. */
    bool contains(Endpoint client, Endpoint address) const;

    std::size_t size() const;

    /** Returns how many requests of a priority wait. */
    std::size_t sizeOf(std::uint32_t priority) const;

private:
    std::vector<WaitingRequest> m_requests; // few: what a service serves within the time limit of its callers
};

} // namespace Samphirepitch
