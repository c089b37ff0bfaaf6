#include "request/admissionqueue.h"

#include "core/random.h"

#include <algorithm>

namespace Samphirepitch
{

namespace
{
// Each measurement has a weight of one eighth: the average follows a change within about ten requests and smooths single long ones.
constexpr int smoothingDivisor = 8;
constexpr std::chrono::milliseconds minRetryDelay { 5 };
} // namespace

void AdmissionQueue::setLimits(std::size_t limit, std::size_t slots)
{
    m_limit = limit;
    m_slots = std::max<std::size_t>(slots, 1);
}

tl::expected<void, AdmissionRefusal> AdmissionQueue::push(QueuedRequest request, TimePoint now, RandomSource &random)
{
    const auto wait = expectedWait();
    const bool isFull = m_waiting.size() >= m_limit;
    if (!isFull && now + wait < request.deadline) {
        m_waiting.push_back(std::move(request));
        return {};
    }
    const auto retryDelay = std::max(std::chrono::duration_cast<std::chrono::milliseconds>(wait), minRetryDelay);
    const auto jitter = static_cast<std::int64_t>(static_cast<double>(retryDelay.count()) * random.uniform());
    return tl::unexpected(AdmissionRefusal {
        isFull ? RefusalReason::QueueFull : RefusalReason::DeadlineTooShort, retryDelay + std::chrono::milliseconds(jitter) });
}

bool AdmissionQueue::contains(const RequestId &request) const
{
    return std::any_of(m_waiting.begin(), m_waiting.end(), [&request](const QueuedRequest &waiting) { return waiting.request == request; });
}

std::optional<QueuedRequest> AdmissionQueue::take(TimePoint now)
{
    const auto found
        = std::find_if(m_waiting.begin(), m_waiting.end(), [now](const QueuedRequest &waiting) { return now < waiting.deadline; });
    if (found == m_waiting.end()) {
        return std::nullopt;
    }
    QueuedRequest request = std::move(*found);
    m_waiting.erase(found);
    return request;
}

std::optional<QueuedRequest> AdmissionQueue::takeExpired(TimePoint now)
{
    const auto found
        = std::find_if(m_waiting.begin(), m_waiting.end(), [now](const QueuedRequest &waiting) { return now >= waiting.deadline; });
    if (found == m_waiting.end()) {
        return std::nullopt;
    }
    QueuedRequest request = std::move(*found);
    m_waiting.erase(found);
    return request;
}

void AdmissionQueue::recordServiceTime(std::chrono::nanoseconds serviceTime)
{
    m_serviceTime += (serviceTime - m_serviceTime) / smoothingDivisor;
}

std::chrono::nanoseconds AdmissionQueue::expectedWait() const
{
    return m_serviceTime * static_cast<std::int64_t>(m_waiting.size() + 1) / static_cast<std::int64_t>(m_slots);
}

std::size_t AdmissionQueue::size() const
{
    return m_waiting.size();
}

} // namespace Samphirepitch
