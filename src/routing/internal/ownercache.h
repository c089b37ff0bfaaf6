#pragma once

#include "core/hash.h"
#include "routing/routedservice.h"

#include <functional>
#include <unordered_map>
#include <vector>

namespace Samphirepitch
{

class Member;

/** Remembers owner and successor of moved buckets during one pass over the flows; ranking members takes microseconds. */
class OwnerCache
{
public:
    using Rank = std::function<std::vector<const Member *>(std::uint64_t, const FlowMove &)>;

    explicit OwnerCache(Rank rank)
        : m_rank(std::move(rank))
    {
    }

    /** Returns the ranked members for a bucket of a service. */
    const std::vector<const Member *> &owners(std::uint64_t service, const FlowMove &move)
    {
        const auto [entry, isNew] = m_owners.try_emplace(mix64(mix64(service, move.bucket), move.before));
        if (isNew) {
            entry->second = m_rank(service, move);
        }
        return entry->second;
    }

private:
    Rank m_rank;
    std::unordered_map<std::uint64_t, std::vector<const Member *>> m_owners;
};

} // namespace Samphirepitch
