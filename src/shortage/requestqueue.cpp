#include "shortage/requestqueue.h"

#include <algorithm>
#include <tuple>

namespace Samphirepitch
{

namespace
{

/** Returns the sort key of a request; the smaller, the earlier it is sent. */
auto sortKey(const WaitingRequest &request, TimePoint now)
{
    return std::tuple(request.priority, request.targetDeadline < now, request.arrivedAt, request.work);
}

} // namespace

void RequestQueue::push(WaitingRequest request)
{
    m_requests.push_back(request);
}

std::optional<WaitingRequest> RequestQueue::pop(TimePoint now)
{
    const auto first = std::min_element(m_requests.begin(), m_requests.end(),
        [now](const WaitingRequest &left, const WaitingRequest &right) { return sortKey(left, now) < sortKey(right, now); });
    if (first == m_requests.end()) {
        return std::nullopt;
    }
    const WaitingRequest request = *first;
    m_requests.erase(first);
    return request;
}

std::optional<WaitingRequest> RequestQueue::pop(std::uint32_t priority, TimePoint now)
{
    auto first = m_requests.end();
    for (auto candidate = m_requests.begin(); candidate != m_requests.end(); ++candidate) {
        if (candidate->priority == priority && (first == m_requests.end() || sortKey(*candidate, now) < sortKey(*first, now))) {
            first = candidate;
        }
    }
    if (first == m_requests.end()) {
        return std::nullopt;
    }
    const WaitingRequest request = *first;
    m_requests.erase(first);
    return request;
}

std::vector<WaitingRequest> RequestQueue::takeExpired(TimePoint now)
{
    const auto firstExpired = std::stable_partition(
        m_requests.begin(), m_requests.end(), [now](const WaitingRequest &request) { return request.deadline > now; });
    std::vector<WaitingRequest> expired(std::make_move_iterator(firstExpired), std::make_move_iterator(m_requests.end()));
    m_requests.erase(firstExpired, m_requests.end());
    return expired;
}

std::vector<WaitingRequest> RequestQueue::takeExcess(std::size_t maxOpenings, TimePoint now)
{
    std::vector<WaitingRequest> excess;
    auto openings = static_cast<std::size_t>(
        std::count_if(m_requests.begin(), m_requests.end(), [](const WaitingRequest &request) { return request.opens; }));
    for (; openings > maxOpenings; --openings) {
        auto last = m_requests.end();
        for (auto candidate = m_requests.begin(); candidate != m_requests.end(); ++candidate) {
            if (candidate->opens && (last == m_requests.end() || sortKey(*last, now) < sortKey(*candidate, now))) {
                last = candidate;
            }
        }
        excess.push_back(*last);
        m_requests.erase(last);
    }
    return excess;
}

bool RequestQueue::remove(Endpoint client, Endpoint address)
{
    return std::erase_if(m_requests, [=](const WaitingRequest &request) { return request.client == client && request.address == address; })
        > 0;
}

bool RequestQueue::contains(Endpoint client, Endpoint address) const
{
    return std::any_of(m_requests.begin(), m_requests.end(),
        [=](const WaitingRequest &request) { return request.client == client && request.address == address; });
}

std::size_t RequestQueue::size() const
{
    return m_requests.size();
}

std::size_t RequestQueue::sizeOf(std::uint32_t priority) const
{
    return static_cast<std::size_t>(std::count_if(
        m_requests.begin(), m_requests.end(), [priority](const WaitingRequest &request) { return request.priority == priority; }));
}

} // namespace Samphirepitch
