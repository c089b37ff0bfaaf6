#include "model/service.h"

#include <utility>

namespace Samphirepitch
{

Service::Service(Fields fields)
    : m_fields(std::make_shared<const Fields>(std::move(fields)))
{
}

const std::string &Service::name() const
{
    return m_fields->name;
}

Endpoint Service::address() const
{
    return m_fields->address;
}

Protocol Service::protocol() const
{
    return m_fields->protocol;
}

Affinity Service::affinity() const
{
    return m_fields->affinity;
}

const std::string &Service::pool() const
{
    return m_fields->pool;
}

const std::string &Service::policy() const
{
    return m_fields->policy;
}

bool operator==(const Service &left, const Service &right)
{
    return left.m_fields == right.m_fields || *left.m_fields == *right.m_fields;
}

} // namespace Samphirepitch
