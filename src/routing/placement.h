#pragma once

#include "routing/lookuptable.h"
#include "routing/serverregistry.h"

#include <vector>

namespace Samphirepitch
{

/** The lookup table of a service with the instance's indexes of its servers. */
class Placement
{
public:
    /**
     * @param table positions by bucket
     * @param servers indexes by position in the pool
     */
    Placement(LookupTable table, std::vector<ServerIndex> servers);

    /** Returns the server of a flow, or noServer if no server takes new flows. */
    ServerIndex server(std::uint64_t key) const;

    /** Returns the bucket of a flow. */
    std::uint32_t bucket(std::uint64_t key) const;

    /** All servers of the pool, drained ones included. */
    const std::vector<ServerIndex> &servers() const;

private:
    LookupTable m_table;
    std::vector<ServerIndex> m_servers;
};

} // namespace Samphirepitch
