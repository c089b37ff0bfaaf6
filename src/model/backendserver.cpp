#include "model/backendserver.h"

#include <utility>

namespace Samphirepitch
{

BackendServer::BackendServer(Fields fields)
    : m_fields(std::move(fields))
{
}

const std::string &BackendServer::name() const
{
    return m_fields.name;
}

const std::string &BackendServer::failureDomain() const
{
    return m_fields.failureDomain;
}

Endpoint BackendServer::address() const
{
    return m_fields.address;
}

Endpoint BackendServer::health() const
{
    return m_fields.health;
}

std::uint32_t BackendServer::weight() const
{
    return m_fields.weight;
}

std::uint32_t BackendServer::slots() const
{
    return m_fields.slots;
}

std::uint32_t BackendServer::connections() const
{
    return m_fields.connections;
}

ServerState BackendServer::state() const
{
    return m_fields.state;
}

} // namespace Samphirepitch
