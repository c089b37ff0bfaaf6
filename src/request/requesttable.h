#pragma once

#include "request/requestid.h"
#include "routing/flowtable.h"
#include "routing/serverregistry.h"

#include <tl/expected.hpp>

#include <span>
#include <vector>

namespace Samphirepitch
{

/** A request that was sent to a backend server and has no response yet. */
struct PendingRequest {
    RequestId request;
    ServerIndex server = noServer; /**< server that the request was last sent to, whose response alone is accepted */
    TimePoint sentAt; /**< time of the last attempt */
    TimePoint deadline; /**< time at which the caller gets the outcome "unknown" */
    std::uint64_t wallDeadline = 0; /**< the deadline as sent to servers, in milliseconds since the Unix epoch */
    Endpoint owner; /**< data address of the owner that forwarded the request to this instance; unset if none did */
    bool idempotent = false;
    std::uint8_t attempts = 0; /**< number of times that it was sent */
    bool allAttemptsRefused = true; /**< whether each previous attempt was refused by its server without running the request */
    std::vector<std::uint8_t> payload; /**< payload for a retry; empty if the request can't be retried */
};

/** Why a response belongs to no pending request. */
enum class ResponseMismatch {
    NotPending, /**< The request is not pending: the response is late or repeated, or the request was never sent. */
    WrongServer, /**< The request is pending at another server. */
};

/**
 * The pending requests of an instance. The constructor allocates all memory except for payloads. A pointer to an entry stays valid
 * until the entry is removed.
 */
class RequestTable
{
public:
    /** @param maxRequests maximum number of requests that are pending at the same time */
    explicit RequestTable(std::size_t maxRequests);

    /** Adds a request and returns its entry; returns null if the table is full or the request is already pending. */
    PendingRequest *add(const RequestId &request, TimePoint now);

    /** Returns the entry of a pending request, or null. */
    PendingRequest *find(const RequestId &request);

    /**
     * Finds the pending request that a response belongs to.
     * @param request id of the request in the response
     * @param server server that sent the response
     * @return the entry of the request; NotPending if there is none, WrongServer if the request was last sent to another server
     */
    tl::expected<PendingRequest *, ResponseMismatch> matchResponse(const RequestId &request, ServerIndex server);

    /** Sets the time at which takeDue() returns the request; replaces an earlier time. */
    void schedule(PendingRequest &pending, TimePoint due);

    /** Returns a request whose scheduled time is at or before @p now, or null. A request is returned once for each schedule(). */
    PendingRequest *takeDue(TimePoint now);

    void remove(PendingRequest &pending);

    std::size_t size() const;

private:
    struct Slot {
        PendingRequest pending;
        std::uint32_t serial = 0; /**< incremented by schedule() and remove(), which makes older timers of the slot stale */
    };
    struct Timer {
        TimePoint due;
        std::uint32_t slot = 0;
        std::uint32_t serial = 0;

        friend bool operator>(const Timer &left, const Timer &right)
        {
            return left.due > right.due;
        }
    };

    std::uint32_t slotOf(const PendingRequest &pending) const;
    void removeStaleTimers();

    std::vector<Slot> m_slots;
    std::vector<std::uint32_t> m_freeSlots;
    FlowTable m_index; /**< slot of each pending request by its key */
    std::vector<Timer> m_timers; /**< heap with the earliest timer first, stale ones included */
};

} // namespace Samphirepitch
