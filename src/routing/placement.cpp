#include "routing/placement.h"

#include <utility>

namespace Samphirepitch
{

Placement::Placement(LookupTable table, std::vector<ServerIndex> servers)
    : m_table(std::move(table))
    , m_servers(std::move(servers))
{
}

ServerIndex Placement::server(std::uint64_t key) const
{
    const std::uint16_t position = m_table.position(key);
    return position == LookupTable::noPosition ? noServer : m_servers[position];
}

std::uint32_t Placement::bucket(std::uint64_t key) const
{
    return m_table.bucket(key);
}

const std::vector<ServerIndex> &Placement::servers() const
{
    return m_servers;
}

} // namespace Samphirepitch
