#include "model/backendpool.h"

#include <utility>

namespace Samphirepitch
{

BackendPool::BackendPool(Fields fields)
    : m_fields(std::make_shared<const Fields>(std::move(fields)))
{
}

const std::string &BackendPool::name() const
{
    return m_fields->name;
}

const std::vector<BackendServer> &BackendPool::servers() const
{
    return m_fields->servers;
}

const std::vector<std::string> &BackendPool::domains() const
{
    return m_fields->domains;
}

bool operator==(const BackendPool &left, const BackendPool &right)
{
    return left.m_fields == right.m_fields || *left.m_fields == *right.m_fields;
}

} // namespace Samphirepitch
