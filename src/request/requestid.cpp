#include "request/requestid.h"

#include "routing/flowkey.h"

namespace Samphirepitch
{

std::uint64_t RequestId::key() const
{
    return requestKey(caller, service, id);
}

std::size_t RequestIdHash::operator()(const RequestId &request) const
{
    return static_cast<std::size_t>(request.key());
}

} // namespace Samphirepitch
