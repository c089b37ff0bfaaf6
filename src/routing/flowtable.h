#pragma once

#include "core/clock.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace Samphirepitch
{

/**
 * The flows that an instance has seen: key, value (a server index) and time last seen, in 16 bytes an entry.
 *
 * Open addressing with linear probing and a load of at most 0.75. All memory is allocated by the constructor.
 */
class FlowTable
{
public:
    static constexpr std::chrono::milliseconds tick { 100 }; /**< resolution of the time last seen */

    /** One held flow. */
    struct Entry {
        std::uint64_t key = 0; /**< 0 in a free slot */
        std::uint32_t value = 0;
        std::uint32_t lastSeen = 0; /**< ticks of the monotonic clock */
    };
    static_assert(sizeof(Entry) == 16);

    /** @param maxFlows flows that the table holds at most */
    explicit FlowTable(std::size_t maxFlows);

    /** Returns the value of @p key without changing the time last seen. */
    std::optional<std::uint32_t> find(std::uint64_t key) const;

    /** Returns the value of @p key and marks the flow as seen at @p now. */
    std::optional<std::uint32_t> touch(std::uint64_t key, TimePoint now);

    /**
     * Adds a flow or changes the value of a held one.
     * @return false if the flow is new and the table is full
     */
    bool insert(std::uint64_t key, std::uint32_t value, TimePoint now);

    /** Removes a flow; returns whether it was held. */
    bool erase(std::uint64_t key);

    /**
     * Looks at the next slots and removes flows that have been idle for too long; repeated calls go round the table.
     * @param slotCount number of slots to look at
     * @param idleTicks longest idle time by value, in ticks; flows with values beyond the end are removed
     * @return number of removed flows
     */
    std::size_t sweep(TimePoint now, std::size_t slotCount, std::span<const std::uint32_t> idleTicks);

    /** Number of held flows. */
    std::size_t size() const;
    std::size_t maxFlows() const;

    /** Bytes of memory for the entries. */
    std::size_t memory() const;

    /** All slots, including free ones, for a pass over the held flows. */
    std::span<const Entry> slots() const;

    /** Returns the ticks of a point in time. */
    static std::uint32_t ticks(TimePoint time);

private:
    std::size_t homeSlot(std::uint64_t key) const;
    std::size_t slotOf(std::uint64_t key) const;
    void removeSlot(std::size_t slot);

    std::vector<Entry> m_slots;
    std::size_t m_maxFlows;
    std::size_t m_size = 0;
    std::size_t m_cursor = 0;
};

} // namespace Samphirepitch
