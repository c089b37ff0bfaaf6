#pragma once

#include "core/clock.h"
#include "core/endpoint.h"
#include "core/eventsink.h"
#include "core/metricsource.h"
#include "shortage/serveruse.h"
#include "shortage/serviceload.h"
#include "stream/streamconfiguration.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace Samphirepitch
{

class LoadView;

/** A request as the admission sees it: an opening packet, or the first data of a request on an open flow. */
struct AdmissionRequest {
    Endpoint client;
    Endpoint address; /**< service address that the client sent it to */
    const StreamRoute *route = nullptr; /**< never null */
    std::string service; /**< that the request is for */
    std::uint32_t token = 0; /**< of the server of an open flow; 0 for an opening packet */
    bool opens = false;
    ServerUse use = ServerUse::Usable; /**< of the server of an open flow */
};

/** What became of a request that was held. */
struct HeldResolution {
    /** What to do with the held packets of the flow. */
    enum class Kind {
        Release, /**< Send them; the room for the request is taken. */
        Refuse, /**< Tell the client that its flow does not open. */
        Discard, /**< Drop them: the client sends them again, or it has given up. */
    };

    Endpoint client;
    Endpoint address;
    Kind kind = Kind::Release;

    friend bool operator==(const HeldResolution &, const HeldResolution &) = default;
};

/**
 * Decides which requests start while a service is short of room. It acts only on services whose routes have at least two priorities, and
 * only while such a service is short or the instance has just started; otherwise every request is admitted.
 *
 * The most urgent requests are admitted as long as they alone do not use up the servers. All others start only if the requests of this
 * instance in flight are below its limit, and wait in a queue otherwise. Requests of open flows at slow servers are admitted and not
 * counted: they would use up the limit while the other servers have room. See docs/design/shortage.md.
 */
class FlowAdmission : public MetricSource
{
public:
    /** The objects that the admission uses. All of them must outlive it. */
    struct Dependencies {
        const Clock &clock;
        EventSink &events;
    };

    enum class Verdict {
        Admit,
        Hold, /**< The packet has to be kept until takeResolved() names its flow. */
        Refuse, /**< There is no room for it within the time that its caller waits. */
    };

    /** A request of each priority starts at least this often, so that none waits for ever. */
    static constexpr std::chrono::milliseconds starvationInterval { 1000 };
    /**
     * A request should not wait longer than this part of its target latency. The rest is for the wait at the server, its work, the way, and
     * another attempt if it is refused.
     */
    static constexpr double waitPart = 0.2;
    /** It may wait this part in any case, if the servers are so slow that no response meets the target. */
    static constexpr double minWaitPart = 0.1;
    /** Most responses take at most this many times the average, so that a request which waits until so long before its target meets it. */
    static constexpr double responseTimeReserve = 1.5;
    /** A client gives an opening packet up after this time. */
    static constexpr std::chrono::milliseconds openingTimeout { 1400 };
    /**
     * An opening packet that led to no open flow after this time was lost, and an open flow without a request is idle: neither needs room.
     * Clients repeat an opening packet after 200 ms; the rest is a margin for the way.
     */
    static constexpr std::chrono::milliseconds idleTime { 300 };
    /** A request without a response counts as in flight for at most this time; most of its callers have given up by then. */
    static constexpr std::chrono::milliseconds maxInFlightTime { 2000 };

    explicit FlowAdmission(Dependencies dependencies);

    /** Puts the priorities of a configuration in force. Requests in flight and held ones stay. */
    void applyConfiguration(const StreamConfiguration &configuration);

    /** Returns the services for which the rules are in force, so that the caller can provide their usable slots. */
    std::vector<std::string> services() const;

    /** Sets the requests that the usable servers of a service can run at the same time. */
    void setUsableSlots(const std::string &service, std::uint32_t slots);

    /** Returns whether a request may start now. A request that is admitted or in flight already is admitted again. */
    Verdict decide(const AdmissionRequest &request);

    /** Records that a flow has opened. */
    void recordOpened(Endpoint client, Endpoint address, std::chrono::nanoseconds openingTime);

    /** Records that the first data of a request was sent to the server with @p token. */
    void recordRequest(Endpoint client, Endpoint address, std::uint32_t token);

    /** Records the response to a request. */
    void recordResponse(Endpoint client, Endpoint address, std::chrono::nanoseconds responseTime);

    /** Records that a flow has ended or was reset, so that its requests need no room. A held packet of it is discarded. */
    void recordEnd(Endpoint client, Endpoint address);

    /** Returns whether packets of a flow are held, or released but not taken by takeResolved() yet, so that later packets must not pass
     * them. */
    bool isHeld(Endpoint client, Endpoint address) const;

    /** Returns whether any packets are held, so that tick() should be called every few milliseconds. */
    bool holdsAny() const;

    /**
     * Updates the state of all services and decides about held requests. Must be called every few tens of milliseconds.
     * @param instances the number of live instances, with this one
     * @param reports what other instances report; may be null
     * @param useOf returns what the server with a token counts for; only requests at usable servers count
     */
    void tick(std::size_t instances, const LoadView *reports, const std::function<ServerUse(std::uint32_t token)> &useOf);

    /** Returns the held requests that were decided about since the last call, in the order in which they are to be sent. */
    std::vector<HeldResolution> takeResolved();

    /** Returns the load of a service, or null if the rules are not in force for it. */
    const ServiceLoadState *load(const std::string &service) const;

    void writeMetrics(MetricWriter &writer) const override;

private:
    /** A request that uses room at a server. */
    struct InFlightRequest {
        ServiceLoadState *service = nullptr;
        bool urgent = false; // whether it had the most urgent priority when it started
        std::uint32_t token = 0; // 0 until the request is sent
        bool awaitsResponse = false; // whether its data was sent
        TimePoint startedAt {}; // when its opening packet, or the data of a request on an open flow, was sent
        TimePoint deadline {}; // from then on it counts no more
    };

    using InFlight = std::unordered_map<std::uint64_t, InFlightRequest>;

    ServiceLoadState *findService(const AdmissionRequest &request);
    Verdict hold(ServiceLoadState &service, const AdmissionRequest &request);
    void start(ServiceLoadState &service, std::uint64_t key, std::uint32_t priority, std::uint32_t token);
    InFlight::iterator finish(InFlight::iterator request);
    void resolve(ServiceLoadState &service, const WaitingRequest &request, HeldResolution::Kind kind, std::string_view reason);
    void release(ServiceLoadState &service);
    void expire(const std::function<ServerUse(std::uint32_t token)> &useOf);
    void logState(const ServiceLoadState &service, bool isShort, std::size_t instances, const LoadView *reports);

    const Clock &m_clock;
    EventSink &m_events;
    std::map<std::string, ServiceLoadState> m_services;
    InFlight m_inFlight; // by the key of the flow
    std::unordered_set<std::uint64_t> m_held; // keys of the flows in all queues
    std::unordered_set<std::uint64_t> m_released; // keys of the flows in m_resolved that are to be sent
    std::vector<HeldResolution> m_resolved;
    TimePoint m_lastTick {};
};

} // namespace Samphirepitch
