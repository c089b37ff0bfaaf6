#pragma once

#include "control/instanceapi.h"
#include "peer/peerclient.h"

#include <string>

namespace Samphirepitch
{

/** Sends requests to instances with the protocol that instances use between each other. */
class PeerInstanceApi : public InstanceApi
{
public:
    /**
     * @param deployment name of the deployment; instances of other deployments are refused
     * @param clock must outlive this object
     */
    PeerInstanceApi(std::string deployment, const Clock &clock);

    asio::awaitable<Result<StatusReply>> status(Endpoint instance, TimePoint deadline) override;
    asio::awaitable<Result<EventsReply>> events(Endpoint instance, std::uint64_t afterSequence, TimePoint deadline) override;
    asio::awaitable<Result<DrainReply>> drain(Endpoint instance, TimePoint deadline) override;

private:
    PeerClient m_client;
};

} // namespace Samphirepitch
