#include "control/peerinstanceapi.h"

#include <utility>

namespace Samphirepitch
{

PeerInstanceApi::PeerInstanceApi(std::string deployment, const Clock &clock)
    : m_client(std::move(deployment), clock)
{
}

asio::awaitable<Result<StatusReply>> PeerInstanceApi::status(Endpoint instance, TimePoint deadline)
{
    return m_client.status(instance, deadline);
}

asio::awaitable<Result<EventsReply>> PeerInstanceApi::events(Endpoint instance, std::uint64_t afterSequence, TimePoint deadline)
{
    return m_client.events(instance, afterSequence, deadline);
}

asio::awaitable<Result<DrainReply>> PeerInstanceApi::drain(Endpoint instance, TimePoint deadline)
{
    return m_client.drain(instance, deadline);
}

} // namespace Samphirepitch
