#include "routing/lookuptable.h"

#include "core/hash.h"
#include "model/backendpool.h"

#include <algorithm>
#include <array>

namespace Samphirepitch
{

namespace
{

constexpr std::array<std::uint32_t, 5> tableSizes { 251, 1021, 4093, 16381, 65521 }; // the permutations need prime sizes
constexpr std::uint8_t narrowNoPosition = 0xff;
constexpr std::size_t bucketsPerServer = 50; // keeps the share of each server within about 2% of its weight

/** The order in which a server claims buckets, a permutation of all of them, and how far the server has got in it. */
struct ServerPermutation {
    std::uint16_t position; /**< of the server in the pool */
    std::uint32_t weight;
    std::uint32_t next; /**< next bucket to claim */
    std::uint32_t skip; /**< distance between the buckets of the permutation */
    std::uint32_t credit; /**< the server claims a bucket each time this reaches the highest weight */
};

std::vector<ServerPermutation> permutations(const BackendPool &pool, std::uint32_t size)
{
    std::vector<ServerPermutation> result;
    for (std::size_t position = 0; position < pool.servers().size(); ++position) {
        const BackendServer &server = pool.servers()[position];
        if (server.state() != ServerState::Active || server.weight() == 0) {
            continue;
        }
        result.push_back(
            { static_cast<std::uint16_t>(position), server.weight(), static_cast<std::uint32_t>(hash64(server.name(), 1) % size),
                static_cast<std::uint32_t>(hash64(server.name(), 2) % (size - 1) + 1), 0 });
    }
    return result;
}

std::uint32_t maxWeight(const std::vector<ServerPermutation> &permutations)
{
    std::uint32_t weight = 0;
    for (const ServerPermutation &permutation : permutations) {
        weight = std::max(weight, permutation.weight);
    }
    return weight;
}

/** Assigns the next free bucket of the permutation to its server. */
void assignNextBucket(ServerPermutation &permutation, std::vector<std::uint16_t> &buckets)
{
    const auto size = static_cast<std::uint32_t>(buckets.size());
    while (buckets[permutation.next] != LookupTable::noPosition) {
        permutation.next = (permutation.next + permutation.skip) % size;
    }
    buckets[permutation.next] = permutation.position;
}

} // namespace

LookupTable::LookupTable(const std::vector<std::uint16_t> &buckets)
    : m_size(static_cast<std::uint32_t>(buckets.size()))
{
    const bool narrow = std::all_of(
        buckets.begin(), buckets.end(), [](std::uint16_t position) { return position < narrowNoPosition || position == noPosition; });
    if (!narrow) {
        m_wide = buckets;
        return;
    }
    m_narrow.reserve(buckets.size());
    for (const std::uint16_t position : buckets) {
        m_narrow.push_back(position == noPosition ? narrowNoPosition : static_cast<std::uint8_t>(position));
    }
}

std::uint32_t LookupTable::sizeFor(std::size_t servers)
{
    for (const std::uint32_t size : tableSizes) {
        if (size >= servers * bucketsPerServer) {
            return size;
        }
    }
    return tableSizes.back();
}

LookupTable LookupTable::of(const BackendPool &pool)
{
    std::vector<std::uint16_t> buckets(sizeFor(pool.servers().size()), noPosition);
    std::vector<ServerPermutation> servers = permutations(pool, static_cast<std::uint32_t>(buckets.size()));
    const std::uint32_t highestWeight = maxWeight(servers);
    std::size_t filled = 0;
    while (!servers.empty() && filled < buckets.size()) {
        for (ServerPermutation &permutation : servers) {
            permutation.credit += permutation.weight;
            if (permutation.credit < highestWeight || filled == buckets.size()) {
                continue;
            }
            permutation.credit -= highestWeight;
            assignNextBucket(permutation, buckets);
            ++filled;
        }
    }
    return LookupTable(buckets);
}

std::uint32_t LookupTable::bucket(std::uint64_t key) const
{
    return static_cast<std::uint32_t>(key % m_size);
}

std::uint16_t LookupTable::at(std::size_t bucket) const
{
    if (m_narrow.empty()) {
        return m_wide[bucket];
    }
    return m_narrow[bucket] == narrowNoPosition ? noPosition : m_narrow[bucket];
}

std::uint16_t LookupTable::position(std::uint64_t key) const
{
    return at(bucket(key));
}

std::vector<std::uint16_t> LookupTable::buckets() const
{
    std::vector<std::uint16_t> positions;
    for (std::size_t bucket = 0; bucket < m_size; ++bucket) {
        positions.push_back(at(bucket));
    }
    return positions;
}

} // namespace Samphirepitch
