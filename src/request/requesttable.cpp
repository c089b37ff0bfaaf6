#include "request/requesttable.h"

#include <algorithm>
#include <functional>

namespace Samphirepitch
{

namespace
{
// Stale timers are removed in one pass when the heap reaches this multiple of the number of slots.
constexpr std::size_t timersPerSlot = 4;
} // namespace

RequestTable::RequestTable(std::size_t maxRequests)
    : m_slots(maxRequests)
    , m_index(maxRequests)
{
    m_timers.reserve(maxRequests * timersPerSlot);
    m_freeSlots.reserve(maxRequests);
    for (std::size_t slot = maxRequests; slot > 0; --slot) {
        m_freeSlots.push_back(static_cast<std::uint32_t>(slot - 1));
    }
}

PendingRequest *RequestTable::add(const RequestId &request, TimePoint now)
{
    const std::uint64_t key = request.key();
    if (m_freeSlots.empty() || m_index.find(key)) {
        return nullptr;
    }
    const std::uint32_t slot = m_freeSlots.back();
    m_freeSlots.pop_back();
    m_index.insert(key, slot, now);
    PendingRequest &pending = m_slots[slot].pending;
    std::vector<std::uint8_t> payload = std::move(pending.payload);
    payload.clear(); // keeps the allocated memory
    pending = PendingRequest { .request = request, .payload = std::move(payload) };
    return &pending;
}

PendingRequest *RequestTable::find(const RequestId &request)
{
    const auto slot = m_index.find(request.key());
    return slot && m_slots[*slot].pending.request == request ? &m_slots[*slot].pending : nullptr;
}

tl::expected<PendingRequest *, ResponseMismatch> RequestTable::matchResponse(const RequestId &request, ServerIndex server)
{
    PendingRequest *pending = find(request);
    if (!pending) {
        return tl::unexpected(ResponseMismatch::NotPending);
    }
    if (pending->server != server) {
        return tl::unexpected(ResponseMismatch::WrongServer);
    }
    return pending;
}

std::uint32_t RequestTable::slotOf(const PendingRequest &pending) const
{
    return *m_index.find(pending.request.key());
}

void RequestTable::schedule(PendingRequest &pending, TimePoint due)
{
    if (m_timers.size() == m_timers.capacity()) {
        removeStaleTimers();
    }
    const std::uint32_t slot = slotOf(pending);
    m_timers.push_back({ due, slot, ++m_slots[slot].serial });
    std::push_heap(m_timers.begin(), m_timers.end(), std::greater<>());
}

PendingRequest *RequestTable::takeDue(TimePoint now)
{
    while (!m_timers.empty() && m_timers.front().due <= now) {
        std::pop_heap(m_timers.begin(), m_timers.end(), std::greater<>());
        const Timer timer = m_timers.back();
        m_timers.pop_back();
        if (m_slots[timer.slot].serial == timer.serial) {
            return &m_slots[timer.slot].pending;
        }
    }
    return nullptr;
}

void RequestTable::remove(PendingRequest &pending)
{
    const std::uint32_t slot = slotOf(pending);
    ++m_slots[slot].serial;
    m_index.erase(pending.request.key());
    m_freeSlots.push_back(slot);
}

void RequestTable::removeStaleTimers()
{
    std::erase_if(m_timers, [this](const Timer &timer) { return m_slots[timer.slot].serial != timer.serial; });
    std::make_heap(m_timers.begin(), m_timers.end(), std::greater<>());
}

std::size_t RequestTable::size() const
{
    return m_slots.size() - m_freeSlots.size();
}

} // namespace Samphirepitch
