#include "model/failuredomain.h"

#include <utility>

namespace Samphirepitch
{

FailureDomain::FailureDomain(Fields fields)
    : m_fields(std::move(fields))
{
}

const std::string &FailureDomain::name() const
{
    return m_fields.name;
}

const std::string &FailureDomain::region() const
{
    return m_fields.region;
}

} // namespace Samphirepitch
