#pragma once

#include "routing/serverregistry.h"

#include <cstddef>
#include <functional>
#include <unordered_map>

namespace Samphirepitch
{

/** The flows that an instance holds as owner or successor of moved buckets, with the backend server of each. */
class FlowExceptionTable
{
public:
    /** @param maxFlows flows held at most */
    explicit FlowExceptionTable(std::size_t maxFlows);

    /**
     * Adds a flow or changes its server.
     * @param deadline the flow is forgotten after it
     * @return false if the store is full
     */
    bool insert(std::uint64_t service, std::uint64_t key, ServerIndex server, TimePoint deadline);

    /** Returns the server of a held flow, or noServer. */
    ServerIndex find(std::uint64_t service, std::uint64_t key, TimePoint now) const;

    void erase(std::uint64_t service, std::uint64_t key);

    /** Forgets the flows whose deadline has passed. */
    void expire(TimePoint now);

    /** Calls @p visit with service, key and server of each held flow. */
    void forEach(const std::function<void(std::uint64_t, std::uint64_t, ServerIndex)> &visit) const;

    std::size_t size() const;

private:
    struct Entry {
        ServerIndex server = noServer;
        TimePoint deadline;
    };
    using FlowMap = std::unordered_map<std::uint64_t, Entry>;

    std::unordered_map<std::uint64_t, FlowMap> m_services;
    std::size_t m_maxFlows;
    std::size_t m_size = 0;
};

} // namespace Samphirepitch
