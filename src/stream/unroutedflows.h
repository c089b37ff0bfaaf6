#pragma once

#include "stream/flowtracker.h"
#include "stream/streamconfiguration.h"

#include <cstddef>
#include <unordered_map>
#include <vector>

namespace Samphirepitch
{

/**
 * The flows whose packets reach this instance while the configuration in force has no route for them. Such a flow need not have lost its
 * route: a newer configuration may have the route again, and another instance may have opened the flow by it. Its packets are dropped, and
 * it ends only when it is proven that the route was removed after the flow was opened; see StoreView::routeRemovalsProvenUntil().
 */
class UnroutedFlows
{
public:
    /** @param maxFlows the largest number of flows that are remembered; packets of further ones are dropped without a reset */
    explicit UnroutedFlows(std::size_t maxFlows);

    /** Adds an open flow that this instance has tracked until a configuration without its route came into force. */
    void add(const StreamFlow &flow);

    /**
     * Records a packet that is neither an opening packet nor a reset.
     * @return the flow that the packet belongs to; valid until the next call; null if the table is full
     */
    const StreamFlow *record(const StreamPacket &packet, TimePoint now);

    /** Removes a flow, if it is known. */
    void remove(Endpoint client, Endpoint service);

    /** Removes the flows that have a route in @p configuration. */
    void removeRouted(const StreamConfiguration &configuration);

    /**
     * Ends the flows that were known to be open at @p time. They keep their entries, because their clients may still send packets.
     * @return the flows that were neither closed nor ended before; the caller has to reset their clients
     */
    std::vector<StreamFlow> endOpenAt(TimePoint time, TimePoint now);

    /** Removes the flows that had no packet for @p idleTimeout. */
    void expire(TimePoint now, std::chrono::nanoseconds idleTimeout);

    std::size_t size() const;

private:
    std::size_t m_maxFlows;
    std::unordered_map<std::uint64_t, StreamFlow> m_flows; // by flowKey()
};

} // namespace Samphirepitch
