#include "membership/member.h"

#include <utility>

namespace Samphirepitch
{

Member::Member(Fields fields)
    : m_fields(std::move(fields))
{
}

const std::string &Member::id() const
{
    return m_fields.id;
}

const std::string &Member::failureDomain() const
{
    return m_fields.failureDomain;
}

Endpoint Member::peerAddress() const
{
    return m_fields.peerAddress;
}

Endpoint Member::dataAddress() const
{
    return m_fields.dataAddress;
}

std::uint64_t Member::incarnation() const
{
    return m_fields.incarnation;
}

MemberState Member::state() const
{
    return m_fields.state;
}

} // namespace Samphirepitch
