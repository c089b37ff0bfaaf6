#pragma once

#include "core/clock.h"
#include "request/requestid.h"

#include <functional>
#include <queue>
#include <span>
#include <unordered_map>
#include <vector>

namespace Samphirepitch
{

/** What the owner of a non-idempotent request knows about it when it arrives. */
enum class OutcomeStatus {
    New, /**< The request was not in the store. */
    Unknown, /**< The request was sent to a server; the response is not known or not kept. */
    Answered, /**< The store has the response. */
    Full, /**< The request was not in the store, which has no room to add it. */
};

/** The result of looking up a request in an OutcomeStore. */
struct OutcomeLookup {
    OutcomeStatus status = OutcomeStatus::New;
    std::span<const std::uint8_t> response; /**< RPC response if Answered, valid until the store changes; empty otherwise */
};

/**
 * The non-idempotent requests that an owner has sent, with their responses, for as long as a caller may repeat them. A request is
 * never removed early, because it could then run twice. A response that would exceed the memory limit is not kept.
 */
class OutcomeStore
{
public:
    /**
     * @param maxRequests maximum number of requests in the store
     * @param maxBytes maximum size of all responses in the store, in bytes
     */
    OutcomeStore(std::size_t maxRequests, std::size_t maxBytes);

    /** Looks up a request without adding it; never returns Full. */
    OutcomeLookup find(const RequestId &request) const;

    /** Looks up a request, and adds it until @p expiresAt if it is new. */
    OutcomeLookup addIfNew(const RequestId &request, TimePoint expiresAt);

    /** Stores the response to a request, if the request is in the store without one and the memory limit allows it. */
    void storeResponse(const RequestId &request, std::span<const std::uint8_t> response);

    /** Removes a request that certainly did not run, so that the caller may send it again. */
    void remove(const RequestId &request);

    /** Removes the requests whose expiry time has come, because callers can't repeat them any more. */
    void expire(TimePoint now);

    std::size_t size() const;

    /** Returns the bytes of all responses in the store. */
    std::size_t bytes() const;

private:
    struct Entry {
        TimePoint expiresAt;
        bool hasResponse = false;
        std::vector<std::uint8_t> response;
    };
    struct Expiry {
        TimePoint at;
        RequestId request;

        friend bool operator>(const Expiry &left, const Expiry &right)
        {
            return left.at > right.at;
        }
    };

    std::unordered_map<RequestId, Entry, RequestIdHash> m_requests;
    std::priority_queue<Expiry, std::vector<Expiry>, std::greater<>> m_expiries;
    std::size_t m_maxRequests;
    std::size_t m_maxBytes;
    std::size_t m_bytes = 0;
};

} // namespace Samphirepitch
