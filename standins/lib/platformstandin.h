#pragma once

#include "core/clock.h"
#include "lib/callcounters.h"
#include "lib/changesignal.h"
#include "lib/delayedinstancelist.h"
#include "lib/objectstore.h"
#include "lib/platformfaults.h"
#include "lib/ratelimiter.h"
#include "objectstore/httphandler.h"

namespace Samphirepitch::StandIn
{

/**
 * A simulated platform. As an HttpHandler, it serves the object API with objects in memory (docs/platform-api.md), and the admin path,
 * on which faults, counters, snapshots and the list of instances are read and changed (docs/standins.md).
 */
class PlatformStandIn : public HttpHandler
{
public:
    /**
     * @param executor runs waiting calls; must be the executor of the HTTP server
     * @param clock source of time; must outlive the stand-in
     */
    PlatformStandIn(asio::any_io_executor executor, const Clock &clock);

    asio::awaitable<std::optional<HttpResponse>> handle(HttpRequest request) override;

    /** Replaces faults and rate limits. An outage ends waiting watches with 503. */
    void setFaults(const PlatformFaults &faults);

    const PlatformFaults &faults() const;
    /** Returns the counters since the start. */
    CallCounters counters() const;
    ObjectStore &store();
    DelayedInstanceList &instances();

private:
    using Response = std::optional<HttpResponse>; /**< unset: the connection is closed without a response */

    asio::awaitable<Response> handleObject(HttpRequest request);
    asio::awaitable<Response> handleWatch(std::string key, std::uint64_t knownVersion, std::chrono::milliseconds timeout);
    Response readObject(const std::string &key) const;
    Response writeObject(const std::string &key, HttpRequest &request);
    Response handleList(const HttpRequest &request);
    Response handleInstanceList(const HttpRequest &request);
    Response handleAdmin(const HttpRequest &request);
    Response handleInstance(const HttpRequest &request);
    Response handleFaults(const HttpRequest &request);

    /** Counts a read, watch or list in @p counter and applies rate limit and outage. @return the refusal; unset if the call is admitted */
    Response admitRead(std::uint64_t &counter);

    /** Counts a write and applies rate limit and outage. @return the refusal; unset if the call is admitted */
    Response admitWrite();
    Response refuseDuringOutage();

    asio::any_io_executor m_executor;
    const Clock &m_clock;
    ObjectStore m_store;
    DelayedInstanceList m_instances;
    PlatformFaults m_faults;
    CallCounters m_counters;
    RateLimiter m_readLimiter;
    RateLimiter m_writeLimiter;
    ChangeSignal m_changeSignal;
};

} // namespace Samphirepitch::StandIn
