#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace Samphirepitch
{

class BackendPool;

/**
 * Maps flow keys to the active backend servers of a pool, in proportion to their weights.
 *
 * The table is built by the Maglev consistent hashing algorithm from the pool alone, so that it is the same on every instance. Its
 * number of buckets depends on all servers of the pool, including draining ones, so that a drain doesn't change it.
 */
class LookupTable
{
public:
    static constexpr std::uint16_t noPosition = 0xffff; /**< no server takes new flows */

    /** Builds the table of @p pool. Draining servers and servers of weight 0 get no bucket. */
    static LookupTable of(const BackendPool &pool);

    /** Returns the number of buckets for a pool of @p servers backend servers. */
    static std::uint32_t sizeFor(std::size_t servers);

    /** Returns the bucket of a flow key. */
    std::uint32_t bucket(std::uint64_t key) const;

    /** Returns the position in BackendPool::servers() of the server for a flow key, or noPosition. */
    std::uint16_t position(std::uint64_t key) const;

    /** Returns the position of the server of each bucket, for comparing tables. */
    std::vector<std::uint16_t> buckets() const;

    friend bool operator==(const LookupTable &, const LookupTable &) = default;

private:
    explicit LookupTable(const std::vector<std::uint16_t> &buckets);

    std::uint16_t at(std::size_t bucket) const;

    // Pools of at most 255 servers use one byte for each bucket, so that the tables of the 6,200 services at the planned size of a
    // deployment take 6 MB instead of 13 MB.
    std::vector<std::uint8_t> m_narrow;
    std::vector<std::uint16_t> m_wide;
    std::uint32_t m_size = 0;
};

} // namespace Samphirepitch
