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

/** What an owner knows of a non-idempotent request when it arrives. */
enum class OutcomeStatus {
    New, /**< It was not seen before and is remembered from now on. */
    Unknown, /**< It was sent to a server; the answer is not known or not kept. */
    Answered, /**< The answer is kept. */
    Full, /**< It was not seen before and there is no room to remember it. */
};

/** The result of asking the memory. */
struct OutcomeLookup {
    OutcomeStatus status = OutcomeStatus::New;
    std::span<const std::uint8_t> response; /**< with Answered: the RPC answer; valid until the memory changes */
};

/**
 * An owner's memory of the non-idempotent requests that it sent, for as long as a caller may repeat them. Keys are never
 * dropped early, because a forgotten key could run twice; the bytes of answers are dropped when they need too much memory.
 */
class OutcomeStore
{
public:
    /**
     * @param maxRequests requests remembered at most
     * @param maxBytes bytes of all kept answers
     */
    OutcomeStore(std::size_t maxRequests, std::size_t maxBytes);

    /** Looks a request up without remembering it; never returns Full. */
    OutcomeLookup find(const RequestId &request) const;

    /** Looks a request up and remembers it until @p forgetAt if it is new. */
    OutcomeLookup addIfNew(const RequestId &request, TimePoint expiresAt);

    /** Keeps the answer of a remembered request. */
    void storeResponse(const RequestId &request, std::span<const std::uint8_t> response);

    /** Forgets a request that certainly did not run, so that the caller may send it again. */
    void remove(const RequestId &request);

    /** Forgets the requests that can't be repeated any more. */
    void expire(TimePoint now);

    std::size_t size() const;
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
