#pragma once

#include "data/packetcounters.h"
#include "data/packetoutput.h"
#include "data/rpcenvelope.h"
#include "request/admissionqueue.h"
#include "request/outcomestore.h"
#include "request/requestownership.h"
#include "request/requesttable.h"
#include "request/retrybudget.h"
#include "routing/router.h"
#include "routing/serverchooser.h"

#include <memory>
#include <unordered_map>

namespace Samphirepitch
{

class ResponseObserver;
class RandomSource;

/** Limits of a RequestHandler. */
struct RequestSettings {
    std::string instance; /**< id of this instance */
    std::string failureDomain; /**< failure domain of this instance */
    std::size_t maxPendingRequests = 32768; /**< requests that may wait for a response at the same time */
    std::size_t maxStoredOutcomes = 65536; /**< non-idempotent requests that are recorded at the same time */
    std::size_t maxStoredResponseBytes = 8 * 1024 * 1024; /**< bytes of all stored responses to recorded requests */
    ChooserKind chooser = ChooserKind::LocalFirst; /**< load balancing method for services with affinity "request" */
    bool isNewId = false; /**< no earlier process used this instance id within the longest repeat window */
};

/** A request as it arrived at this instance or was taken from a queue. */
struct IncomingRequest {
    const RoutedService *service = nullptr; /**< service of the request; must be set */
    RequestId request;
    Endpoint sender; /**< address of the fabric or of the instance that sent the datagram */
    std::uint8_t hops = 0; /**< how often instances forwarded the request */
    bool acceptedByOwner = false; /**< the owner has recorded the non-idempotent request, and the receiving instance sends it */
    bool idempotent = false; /**< the request may run more than once */
    Endpoint owner; /**< data address of the owner of a non-idempotent request, if it forwarded the request to this instance; else unset */
    TimePoint deadline; /**< deadline on the monotonic clock */
    std::uint64_t wallDeadline = 0; /**< the same deadline in milliseconds since the Unix epoch */
    std::span<const std::uint8_t> payload; /**< encoded RPC message */
};

/**
 * Handles the RPC requests of an instance: chooses backend servers, queues, retries, and sends responses and refusals to callers
 * (docs/design.md, section 7). Not thread-safe.
 *
 * A non-idempotent request is handled by its owner, one instance that is computed from the request key. The owner records the request
 * and its response, so that a repeated request does not run again.
 */
class RequestHandler
{
public:
    /**
     * @param settings identity of the instance and limits
     * @param router router of the same instance; must outlive the handler
     * @param random random source for load balancing and retry times; must outlive the handler
     * @param output sender of datagrams; must outlive the handler
     * @param counters counters to update; must outlive the handler
     * @param startedAt time at which this instance started
     */
    RequestHandler(RequestSettings settings, Router &router, RandomSource &random, PacketOutput &output, PacketCounters &counters,
        TimePoint startedAt);

    /** Sets the observer of response times; null for none. It must outlive the handler. */
    void setResponseObserver(ResponseObserver *observer);

    /** Applies the policies and servers of the services of the router, which must have the new configuration already. */
    void configurationChanged();

    /** Applies a new member view. The router must have it already. */
    void memberViewChanged(std::shared_ptr<const MemberView> view, TimePoint now);

    /** Sets when the member view expires. From @p deadline on, non-idempotent requests are refused as "unknown". */
    void setViewDeadline(TimePoint deadline);

    /** Sends, forwards, queues or refuses a request from the fabric or another instance. */
    void handleRequest(const IncomingRequest &incoming, TimePoint now);

    /**
     * Handles a response of a backend server: sends it to the caller, or retries a request that the server refused as not run.
     * Responses that match no pending request are counted and dropped.
     * @param service service of the request
     * @param server sender of the response, which belongs to the pool of the service
     * @param request id of the request
     * @param envelope decoded response
     * @param payload encoded response
     * @param now current time
     */
    void handleResponse(const RoutedService &service, ServerIndex server, const RequestId &request, const RpcEnvelope &envelope,
        std::span<const std::uint8_t> payload, TimePoint now);

    /**
     * Records the outcome of a non-idempotent request that this instance owns.
     * @param request id of the request
     * @param envelope decoded response
     * @param payload encoded response, which is stored for repeated requests
     */
    void handleOwnedResponse(const RequestId &request, const RpcEnvelope &envelope, std::span<const std::uint8_t> payload);

    /** Stores the load that a backend server reported. */
    void updateServerLoad(ServerIndex server, const LoadReport &report, TimePoint now);

    /** Handles the deadlines of pending, queued and recorded requests; to be called every few milliseconds. */
    void tick(TimePoint now);

    /** Returns the number of pending and queued requests plus recorded ones, which a caller may still repeat. */
    std::size_t unfinishedCount() const;

    /** Returns the number of requests that wait for a response or for a slot. */
    std::size_t pendingCount() const;

private:
    struct ServiceState {
        AdmissionQueue queue;
        RetryBudget retryBudget { 0 };
        std::unique_ptr<ServerChooser> chooser;
    };
    struct ServerLoad {
        std::uint32_t inFlight = 0; /**< requests of this instance without a response */
        std::uint32_t reported = 0; /**< running and queued requests in the last load report */
        TimePoint reportedAt {}; /**< time of the last load report */
    };

    void handleNonIdempotentRequest(const IncomingRequest &incoming, TimePoint now);
    bool startRequest(const IncomingRequest &incoming, TimePoint now);
    bool startWithFlowAffinity(const IncomingRequest &incoming, TimePoint now);
    bool startWithRequestAffinity(const IncomingRequest &incoming, TimePoint now);
    bool dispatch(const IncomingRequest &incoming, ServerIndex server, TimePoint now);
    bool retry(PendingRequest &pending, bool wasRefused, TimePoint now);
    void completeRequest(PendingRequest &pending);
    void handleTimeout(PendingRequest &pending, TimePoint now);
    void dispatchQueued(const RoutedService &service, TimePoint now);
    void refuseExpired(ServiceState &state, TimePoint now);
    ServerIndex chooseServer(const RoutedService &service, ServiceState &state, std::uint64_t key, ServerIndex excluded, TimePoint now);
    bool isLiveInstance(Endpoint dataAddress) const;
    void forwardToInstance(const IncomingRequest &incoming, const Member &instance);
    void sendCancellation(const PendingRequest &pending);
    void refuse(const RequestId &request, bool notRun, std::string_view reason, std::chrono::milliseconds retryAfter = {});
    void sendToCaller(const RequestId &request, std::span<const std::uint8_t> payload);
    std::uint32_t slotShare(const RoutedServer &server) const;
    ServerLoad &loadOf(ServerIndex server);

    RequestSettings m_settings;
    ResponseObserver *m_observer = nullptr;
    Router &m_router;
    RandomSource &m_random;
    PacketOutput &m_output;
    PacketCounters &m_counters;
    RequestTable m_pending;
    OutcomeStore m_outcomes;
    RequestOwnership m_ownership;
    std::unordered_map<std::uint64_t, ServiceState> m_services;
    std::vector<ServerLoad> m_serverLoads;
    std::vector<ServerCandidate> m_candidates; /**< scratch buffer of chooseServer() */
    std::size_t m_queued = 0; /**< requests in all queues */
    TimePoint m_viewDeadline = TimePoint::max();
    std::uint32_t m_liveInstances = 1; /**< at least 1 */
};

} // namespace Samphirepitch
