#pragma once

#include "core/clock.h"
#include "core/endpoint.h"
#include "core/error.h"
#include "peer/message.h"

#include <asio/awaitable.hpp>

#include <cstdint>

namespace Samphirepitch
{

/** What operators can ask an instance directly. */
class InstanceApi
{
public:
    virtual ~InstanceApi() = default;

    /** Returns what the instance knows of the failure domains. */
    virtual asio::awaitable<Result<StatusReply>> status(Endpoint instance, TimePoint deadline) = 0;

    /** Returns the events after @p afterSequence, at most MessageLimits::events of them. */
    virtual asio::awaitable<Result<EventsReply>> events(Endpoint instance, std::uint64_t afterSequence, TimePoint deadline) = 0;

    /** Asks the instance to stop gracefully. @return OutcomeUnknown if the request was sent and no answer came */
    virtual asio::awaitable<Result<DrainReply>> drain(Endpoint instance, TimePoint deadline) = 0;
};

} // namespace Samphirepitch
