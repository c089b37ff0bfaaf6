#pragma once

#include "core/clock.h"
#include "core/endpoint.h"
#include "core/error.h"
#include "peer/message.h"

#include <asio/awaitable.hpp>

#include <cstdint>

namespace Samphirepitch
{

/** Interface for the requests that samphirepitchctl sends to instances directly. */
class InstanceApi
{
public:
    virtual ~InstanceApi() = default;

    /** Requests the status of all failure domains as known by the instance. */
    virtual asio::awaitable<Result<StatusReply>> status(Endpoint instance, TimePoint deadline) = 0;

    /** Requests the events after @p afterSequence, at most MessageLimits::events of them. */
    virtual asio::awaitable<Result<EventsReply>> events(Endpoint instance, std::uint64_t afterSequence, TimePoint deadline) = 0;

    /** Requests a graceful stop of the instance. @return the reply; OutcomeUnknown if the request was sent and no reply arrived */
    virtual asio::awaitable<Result<DrainReply>> drain(Endpoint instance, TimePoint deadline) = 0;
};

} // namespace Samphirepitch
