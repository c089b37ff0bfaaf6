#include "routing/flowtable.h"

#include <algorithm>

namespace Samphirepitch
{

FlowTable::FlowTable(std::size_t maxFlows)
    : m_slots(maxFlows * 4 / 3 + 2) // load factor of at most 0.75, with at least one free slot to end each probe sequence
    , m_maxFlows(maxFlows)
{
}

std::uint32_t FlowTable::ticks(TimePoint time)
{
    return static_cast<std::uint32_t>(time.time_since_epoch() / tick);
}

/** Returns the first slot of the probe sequence of a key. */
std::size_t FlowTable::homeSlot(std::uint64_t key) const
{
    return static_cast<std::size_t>((static_cast<unsigned __int128>(key) * m_slots.size()) >> 64);
}

/** Returns the slot that holds the key, or the free slot that ends its probe sequence. */
std::size_t FlowTable::slotOf(std::uint64_t key) const
{
    std::size_t slot = homeSlot(key);
    while (m_slots[slot].key != key && m_slots[slot].key != 0) {
        slot = slot + 1 == m_slots.size() ? 0 : slot + 1;
    }
    return slot;
}

std::optional<std::uint32_t> FlowTable::find(std::uint64_t key) const
{
    const Entry &entry = m_slots[slotOf(key)];
    return entry.key == key ? std::optional(entry.value) : std::nullopt;
}

std::optional<std::uint32_t> FlowTable::touch(std::uint64_t key, TimePoint now)
{
    Entry &entry = m_slots[slotOf(key)];
    if (entry.key != key) {
        return std::nullopt;
    }
    entry.lastSeen = ticks(now);
    return entry.value;
}

bool FlowTable::insert(std::uint64_t key, std::uint32_t value, TimePoint now)
{
    Entry &entry = m_slots[slotOf(key)];
    if (entry.key != key) {
        if (m_size == m_maxFlows) {
            return false;
        }
        ++m_size;
    }
    entry = { key, value, ticks(now) };
    return true;
}

bool FlowTable::erase(std::uint64_t key)
{
    const std::size_t slot = slotOf(key);
    if (m_slots[slot].key != key) {
        return false;
    }
    removeSlot(slot);
    return true;
}

void FlowTable::removeSlot(std::size_t slot)
{
    // Later entries of the probe sequence move into the gap. A tombstone instead would lengthen probe sequences.
    std::size_t gap = slot;
    std::size_t next = slot;
    while (true) {
        next = next + 1 == m_slots.size() ? 0 : next + 1;
        if (m_slots[next].key == 0) {
            break;
        }
        const std::size_t homeOfNext = homeSlot(m_slots[next].key);
        // An entry whose home slot lies after the gap stays, because a search for its key starts behind the gap.
        const bool staysBehindGap = gap <= next ? gap < homeOfNext && homeOfNext <= next : gap < homeOfNext || homeOfNext <= next;
        if (!staysBehindGap) {
            m_slots[gap] = m_slots[next];
            gap = next;
        }
    }
    m_slots[gap] = Entry();
    --m_size;
}

std::size_t FlowTable::sweep(TimePoint now, std::size_t slotCount, std::span<const std::uint32_t> idleTicks)
{
    const std::uint32_t nowTicks = ticks(now);
    std::size_t removed = 0;
    for (std::size_t remaining = std::min(slotCount, m_slots.size()); remaining > 0; --remaining) {
        m_cursor = m_cursor >= m_slots.size() ? 0 : m_cursor;
        const Entry &entry = m_slots[m_cursor];
        const bool expired = entry.key != 0 && (entry.value >= idleTicks.size() || nowTicks - entry.lastSeen > idleTicks[entry.value]);
        if (expired) {
            // The removal may have moved another entry into this slot, so the cursor stays.
            removeSlot(m_cursor);
            ++removed;
        } else {
            ++m_cursor;
        }
    }
    return removed;
}

std::size_t FlowTable::size() const
{
    return m_size;
}

std::size_t FlowTable::maxFlows() const
{
    return m_maxFlows;
}

std::size_t FlowTable::memory() const
{
    return m_slots.size() * sizeof(Entry);
}

std::span<const FlowTable::Entry> FlowTable::slots() const
{
    return m_slots;
}

} // namespace Samphirepitch
