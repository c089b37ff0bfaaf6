#pragma once

#include "routing/serverregistry.h"

#include <cstddef>
#include <functional>
#include <unordered_map>

namespace Samphirepitch
{

/**
 * The flow exceptions that an instance holds as owner or successor of moved buckets: the backend server of each such flow. Router
 * describes these terms.
 */
class FlowExceptionTable
{
public:
    /** @param maxFlows maximum number of flows in the table */
    explicit FlowExceptionTable(std::size_t maxFlows);

    /**
     * Adds a flow, or changes the server and the deadline of a known one.
     * @param service id of the service
     * @param key flow key
     * @param server backend server of the flow
     * @param deadline end of the exception, after which the flow is no longer found
     * @return false if the flow is new and the table is full
     */
    bool insert(std::uint64_t service, std::uint64_t key, ServerIndex server, TimePoint deadline);

    /** Returns the server of a flow, or noServer if the flow is unknown or its deadline has passed. */
    ServerIndex find(std::uint64_t service, std::uint64_t key, TimePoint now) const;

    void erase(std::uint64_t service, std::uint64_t key);

    /** Removes the flows whose deadline has passed. */
    void expire(TimePoint now);

    /** Calls @p visit with the service id, the flow key and the server of each flow. */
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
