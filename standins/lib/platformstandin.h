#pragma once

#include "core/clock.h"
#include "lib/callcounters.h"
#include "lib/changesignal.h"
#include "lib/lagginginstances.h"
#include "lib/objectstore.h"
#include "lib/platformfaults.h"
#include "lib/ratelimit.h"
#include "objectstore/httphandler.h"

namespace Samphirepitch::StandIn
{

/** The platform's object API in memory (docs/platform-api.md), with faults and counters on an admin path (docs/standins.md). */
class PlatformStandIn : public HttpHandler
{
public:
    /**
     * @param executor runs waiting calls; the one of the HTTP server
     * @param clock must outlive the stand-in
     */
    PlatformStandIn(asio::any_io_executor executor, const Clock &clock);

    asio::awaitable<std::optional<HttpResponse>> handle(HttpRequest request) override;

    /** Changes faults and limits; a new outage ends waiting watches. */
    void changeFaults(const PlatformFaults &faults);

    const PlatformFaults &faults() const;
    CallCounters counters() const;
    ObjectStore &store();
    LaggingInstances &instances();

private:
    using Answer = std::optional<HttpResponse>;

    asio::awaitable<Answer> object(HttpRequest request);
    asio::awaitable<Answer> watch(std::string key, std::uint64_t known, std::chrono::milliseconds timeout);
    Answer read(const std::string &key) const;
    Answer write(const std::string &key, HttpRequest &request);
    Answer list(const HttpRequest &request);
    Answer listInstances(const HttpRequest &request);
    Answer admin(const HttpRequest &request);
    Answer changeInstance(const HttpRequest &request);
    Answer changeFaultsBy(const HttpRequest &request);

    /** Counts a call that is a read. @return the refusal, if it is refused */
    Answer admitRead(std::uint64_t &counter);
    Answer admitWrite();
    Answer refuseOutage();

    asio::any_io_executor m_executor;
    const Clock &m_clock;
    ObjectStore m_store;
    LaggingInstances m_instances;
    PlatformFaults m_faults;
    CallCounters m_counters;
    RateLimit m_reads;
    RateLimit m_writes;
    ChangeSignal m_changes;
};

} // namespace Samphirepitch::StandIn
