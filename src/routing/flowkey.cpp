#include "routing/flowkey.h"

#include "core/hash.h"

namespace Samphirepitch
{

namespace
{

std::uint64_t packed(Endpoint endpoint)
{
    return static_cast<std::uint64_t>(endpoint.address()) << 16 | endpoint.port();
}

std::uint64_t nonZero(std::uint64_t key)
{
    return key == 0 ? 1 : key;
}

} // namespace

std::uint64_t flowKey(Endpoint caller, Endpoint service)
{
    return nonZero(mix64(packed(caller), packed(service)));
}

std::uint64_t requestKey(Endpoint caller, Endpoint service, std::uint32_t id)
{
    return nonZero(mix64(flowKey(caller, service), id));
}

} // namespace Samphirepitch
