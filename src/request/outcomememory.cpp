#include "request/outcomememory.h"

namespace Samphirepitch
{

OutcomeMemory::OutcomeMemory(std::size_t maxRequests, std::size_t maxBytes)
    : m_maxRequests(maxRequests)
    , m_maxBytes(maxBytes)
{
}

Recollection OutcomeMemory::recall(const RequestId &request) const
{
    const auto known = m_requests.find(request);
    if (known == m_requests.end()) {
        return { RequestMemory::New, {} };
    }
    return known->second.isAnswered ? Recollection { RequestMemory::Answered, known->second.answer }
                                    : Recollection { RequestMemory::Unknown, {} };
}

Recollection OutcomeMemory::begin(const RequestId &request, TimePoint forgetAt)
{
    const Recollection known = recall(request);
    if (known.memory != RequestMemory::New) {
        return known;
    }
    if (m_requests.size() >= m_maxRequests) {
        return { RequestMemory::Full, {} };
    }
    m_requests[request].forgetAt = forgetAt;
    m_expiries.push({ forgetAt, request });
    return known;
}

void OutcomeMemory::answered(const RequestId &request, std::span<const std::uint8_t> answer)
{
    const auto known = m_requests.find(request);
    if (known == m_requests.end() || known->second.isAnswered || m_bytes + answer.size() > m_maxBytes) {
        return;
    }
    known->second.isAnswered = true;
    known->second.answer.assign(answer.begin(), answer.end());
    m_bytes += answer.size();
}

void OutcomeMemory::forget(const RequestId &request)
{
    const auto known = m_requests.find(request);
    if (known != m_requests.end()) {
        m_bytes -= known->second.answer.size();
        m_requests.erase(known);
    }
}

void OutcomeMemory::expire(TimePoint now)
{
    while (!m_expiries.empty() && m_expiries.top().at <= now) {
        const auto known = m_requests.find(m_expiries.top().request);
        // A request that was forgotten and sent again has a later expiry of its own.
        if (known != m_requests.end() && known->second.forgetAt <= now) {
            m_bytes -= known->second.answer.size();
            m_requests.erase(known);
        }
        m_expiries.pop();
    }
}

std::size_t OutcomeMemory::size() const
{
    return m_requests.size();
}

std::size_t OutcomeMemory::bytes() const
{
    return m_bytes;
}

} // namespace Samphirepitch
