#pragma once

#include "request/requestid.h"
#include "routing/flowtable.h"
#include "routing/serverregistry.h"

#include <tl/expected.hpp>

#include <span>
#include <vector>

namespace Samphirepitch
{

/** A request that was sent to a backend server and is not answered yet. */
struct PendingRequest {
    RequestId request;
    ServerIndex server = noServer; /**< the only server whose answer counts */
    TimePoint sentAt;
    TimePoint deadline; /**< the caller hears "unknown" at this time */
    std::uint64_t wallDeadline = 0; /**< the same deadline as sent to servers: milliseconds since the Unix epoch */
    Endpoint owner; /**< data address of the instance that sent the request here as its owner; unset if it came otherwise */
    bool idempotent = false;
    std::uint8_t attempts = 0; /**< how often it was sent */
    bool allAttemptsRefused = true; /**< every server that it was sent to before refused it without running it */
    std::vector<std::uint8_t> payload; /**< kept for retries; empty if there can't be one */
};

/** Why an answer was not delivered. */
enum class ResponseMismatch {
    NotPending, /**< No such request waits: late, repeated or never sent. */
    WrongServer, /**< The request waits for another server. */
};

/**
 * The pending requests of an instance. All memory but payloads is allocated by the constructor; pointers to entries stay valid
 * until the entry is removed.
 */
class RequestTable
{
public:
    /** @param maxRequests requests that can wait at the same time */
    explicit RequestTable(std::size_t maxRequests);

    /** Adds a request and returns its entry, or null if the table is full or the request already waits. */
    PendingRequest *add(const RequestId &request, TimePoint now);

    /** Returns the waiting request, or null. */
    PendingRequest *find(const RequestId &request);

    /** Returns the request that an answer of @p server is for, or why the answer doesn't count. */
    tl::expected<PendingRequest *, ResponseMismatch> matchResponse(const RequestId &request, ServerIndex server);

    /** Sets the time at which due() returns the request; replaces an earlier time. */
    void schedule(PendingRequest &pending, TimePoint due);

    /** Returns a request whose time has come, or null. It is returned once, unless it is scheduled again. */
    PendingRequest *takeDue(TimePoint now);

    void remove(PendingRequest &pending);

    std::size_t size() const;

private:
    struct Slot {
        PendingRequest pending;
        std::uint32_t serial = 0; /**< changes with each schedule and removal, which makes older timers void */
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
    FlowTable m_index; /**< slot by request key */
    std::vector<Timer> m_timers; /**< heap, earliest first */
};

} // namespace Samphirepitch
