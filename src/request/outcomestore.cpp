#include "request/outcomestore.h"

namespace Samphirepitch
{

OutcomeStore::OutcomeStore(std::size_t maxRequests, std::size_t maxBytes)
    : m_maxRequests(maxRequests)
    , m_maxBytes(maxBytes)
{
}

OutcomeLookup OutcomeStore::find(const RequestId &request) const
{
    const auto known = m_requests.find(request);
    if (known == m_requests.end()) {
        return { OutcomeStatus::New, {} };
    }
    return known->second.hasResponse ? OutcomeLookup { OutcomeStatus::Answered, known->second.response }
                                     : OutcomeLookup { OutcomeStatus::Unknown, {} };
}

OutcomeLookup OutcomeStore::addIfNew(const RequestId &request, TimePoint expiresAt)
{
    const OutcomeLookup known = find(request);
    if (known.status != OutcomeStatus::New) {
        return known;
    }
    if (m_requests.size() >= m_maxRequests) {
        return { OutcomeStatus::Full, {} };
    }
    m_requests[request].expiresAt = expiresAt;
    m_expiries.push({ expiresAt, request });
    return known;
}

void OutcomeStore::storeResponse(const RequestId &request, std::span<const std::uint8_t> response)
{
    const auto known = m_requests.find(request);
    if (known == m_requests.end() || known->second.hasResponse || m_bytes + response.size() > m_maxBytes) {
        return;
    }
    known->second.hasResponse = true;
    known->second.response.assign(response.begin(), response.end());
    m_bytes += response.size();
}

void OutcomeStore::remove(const RequestId &request)
{
    const auto known = m_requests.find(request);
    if (known != m_requests.end()) {
        m_bytes -= known->second.response.size();
        m_requests.erase(known);
    }
}

void OutcomeStore::expire(TimePoint now)
{
    while (!m_expiries.empty() && m_expiries.top().at <= now) {
        const auto known = m_requests.find(m_expiries.top().request);
        // A request that was removed and added again has a later expiry of its own.
        if (known != m_requests.end() && known->second.expiresAt <= now) {
            m_bytes -= known->second.response.size();
            m_requests.erase(known);
        }
        m_expiries.pop();
    }
}

std::size_t OutcomeStore::size() const
{
    return m_requests.size();
}

std::size_t OutcomeStore::bytes() const
{
    return m_bytes;
}

} // namespace Samphirepitch
