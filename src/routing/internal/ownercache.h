#pragma once

#include "core/hash.h"
#include "routing/routedservice.h"

#include <functional>
#include <unordered_map>
#include <vector>

namespace Samphirepitch
{

class Member;

/** Caches owner and successor of moved buckets during one pass over the flows, because ranking the members takes microseconds. */
class OwnerCache
{
public:
    using RankFunction = std::function<std::vector<const Member *>(std::uint64_t, const BucketMove &)>;

    explicit OwnerCache(RankFunction rankFunction)
        : m_rankFunction(std::move(rankFunction))
    {
    }

    /** Returns owner and successor of a moved bucket of the service id @p service. */
    const std::vector<const Member *> &owners(std::uint64_t service, const BucketMove &move)
    {
        const auto [entry, isNew] = m_owners.try_emplace(mix64(mix64(service, move.bucket), move.previousServer));
        if (isNew) {
            entry->second = m_rankFunction(service, move);
        }
        return entry->second;
    }

private:
    RankFunction m_rankFunction;
    std::unordered_map<std::uint64_t, std::vector<const Member *>> m_owners;
};

} // namespace Samphirepitch
