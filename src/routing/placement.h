#pragma once

#include "routing/lookuptable.h"
#include "routing/serverregistry.h"

#include <vector>

namespace Samphirepitch
{

/** The assignment of the flows of a service to servers: a lookup table with the server index for each position of the pool. */
class Placement
{
public:
    /**
     * @param table lookup table of the pool
     * @param servers server index for each position in the pool
     */
    Placement(LookupTable table, std::vector<ServerIndex> servers);

    /** Returns the server for a flow key, or noServer if no server takes new flows. */
    ServerIndex server(std::uint64_t key) const;

    /** Returns the bucket of a flow key. */
    std::uint32_t bucket(std::uint64_t key) const;

    /** Returns all servers of the pool, including draining ones. */
    const std::vector<ServerIndex> &servers() const;

private:
    LookupTable m_table;
    std::vector<ServerIndex> m_servers;
};

} // namespace Samphirepitch
