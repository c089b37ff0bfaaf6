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
 * A hash table of the flows of an instance. An entry of 16 bytes holds the key, a value (the server index in Router) and the time
 * of the last packet.
 *
 * The table uses open addressing with linear probing and a load factor of at most 0.75. The constructor allocates all memory.
 */
class FlowTable
{
public:
    static constexpr std::chrono::milliseconds tick { 100 }; /**< resolution of Entry::lastSeen */

    /** One slot of the table. */
    struct Entry {
        std::uint64_t key = 0; /**< 0 in a free slot */
        std::uint32_t value = 0;
        std::uint32_t lastSeen = 0; /**< time of the last packet in ticks of the monotonic clock */
    };
    static_assert(sizeof(Entry) == 16);

    /** @param maxFlows maximum number of flows in the table */
    explicit FlowTable(std::size_t maxFlows);

    /** Returns the value of @p key and leaves the time of its last packet as it is; returns nothing for an unknown key. */
    std::optional<std::uint32_t> find(std::uint64_t key) const;

    /** Returns the value of @p key and sets the time of its last packet to @p now; returns nothing for an unknown key. */
    std::optional<std::uint32_t> touch(std::uint64_t key, TimePoint now);

    /**
     * Adds a flow, or changes the value of a known one.
     * @param key flow key, not 0
     * @param value value to store
     * @param now time of the last packet
     * @return false if the flow is new and the table is full
     */
    bool insert(std::uint64_t key, std::uint32_t value, TimePoint now);

    /** Removes a flow; returns whether it was in the table. */
    bool erase(std::uint64_t key);

    /**
     * Removes flows that were idle for too long from the next slots. Repeated calls cycle through the table.
     * @param now current time
     * @param slotCount slots to check
     * @param idleTicks longest idle time by flow value, in ticks; flows whose value is not an index of this span are removed
     * @return number of removed flows
     */
    std::size_t sweep(TimePoint now, std::size_t slotCount, std::span<const std::uint32_t> idleTicks);

    /** Returns the number of flows in the table. */
    std::size_t size() const;
    std::size_t maxFlows() const;

    /** Returns the memory of all slots in bytes. */
    std::size_t memory() const;

    /** Returns all slots, including free ones, for iterating over the flows. */
    std::span<const Entry> slots() const;

    /** Returns @p time in ticks of the monotonic clock. */
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
