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

class AnswerObserver;
class RandomSource;

/** Limits of a RequestHandler. */
struct RequestSettings {
    std::string instance;
    std::string failureDomain;
    std::size_t maxPending = 32768; /**< requests that wait for answers */
    std::size_t maxRemembered = 65536; /**< non-idempotent requests in the owner's memory */
    std::size_t maxAnswerBytes = 8 * 1024 * 1024; /**< bytes of their answers */
    ChooserKind chooser = ChooserKind::LocalFirst;
    bool isNewId = false; /**< no earlier process ran under this instance id within the repeat window */
};

/** A request as it arrived. */
struct IncomingRequest {
    const RoutedService *service = nullptr;
    RequestId request;
    Endpoint sender; /**< fabric or instance */
    std::uint8_t hops = 0;
    bool admitted = false; /**< the owner of a non-idempotent request remembers it, and this instance is to send it */
    bool idempotent = false;
    Endpoint owner; /**< of a non-idempotent request that its owner sent to the owner of its flow */
    TimePoint deadline;
    std::uint64_t wallDeadline = 0; /**< milliseconds since the Unix epoch */
    std::span<const std::uint8_t> payload;
};

/** Places, retries, answers and refuses the RPC requests of an instance (docs/design.md, section 7). Not thread-safe. */
class RequestHandler
{
public:
    RequestHandler(RequestSettings settings, Router &router, RandomSource &random, PacketOutput &output, PacketCounters &counters,
        TimePoint startedAt);

    /** Sets what hears of answers; it must outlive the handler. Null for nobody. */
    void setAnswerObserver(AnswerObserver *observer);

    /** Says that the services have changed. */
    void configurationChanged();

    /** Takes a view into use. */
    void memberViewChanged(std::shared_ptr<const MemberView> view, TimePoint now);

    /** After @p deadline the member view is too old to decide about non-idempotent requests. */
    void setViewDeadline(TimePoint deadline);

    void request(const IncomingRequest &incoming, TimePoint now);

    /** Takes a response of a server that belongs to the pool of the service. */
    void answer(const RoutedService &service, ServerIndex server, const RequestId &request, const RpcEnvelope &envelope,
        std::span<const std::uint8_t> payload, TimePoint now);

    /** Takes the answer that the owner of a flow got for a request that this instance owns. */
    void answerOfOwned(const RequestId &request, const RpcEnvelope &envelope, std::span<const std::uint8_t> payload);

    /** Takes a load report of a server. */
    void loadReported(ServerIndex server, const LoadReport &load, TimePoint now);

    /** Handles deadlines. */
    void tick(TimePoint now);

    /** Requests that were accepted and are not answered yet, and remembered ones that a caller may still repeat. */
    std::size_t unfinished() const;

    /** Requests that wait for an answer or for a slot. */
    std::size_t waiting() const;

private:
    struct ServiceState {
        AdmissionQueue queue;
        RetryBudget budget { 0 };
        std::unique_ptr<ServerChooser> chooser;
    };
    struct ServerLoad {
        std::uint32_t inFlight = 0;
        std::uint32_t reported = 0;
        TimePoint reportedAt {};
    };

    void placeOwned(const IncomingRequest &incoming, TimePoint now);
    bool start(const IncomingRequest &incoming, TimePoint now);
    bool startByFlow(const IncomingRequest &incoming, TimePoint now);
    bool startByChoice(const IncomingRequest &incoming, TimePoint now);
    bool dispatch(const IncomingRequest &incoming, ServerIndex server, TimePoint now);
    bool retry(PendingRequest &pending, bool wasRefused, TimePoint now);
    void finish(PendingRequest &pending);
    void expire(PendingRequest &pending, TimePoint now);
    void pump(const RoutedService &service, TimePoint now);
    void refuseLapsed(ServiceState &state, TimePoint now);
    ServerIndex choose(const RoutedService &service, ServiceState &state, std::uint64_t key, ServerIndex except, TimePoint now);
    bool isLiveInstance(Endpoint dataAddress) const;
    void forward(const IncomingRequest &incoming, const Member &instance);
    void cancel(const PendingRequest &pending);
    void refuse(const RequestId &request, bool notRun, std::string_view reason, std::chrono::milliseconds retryAfter = {});
    void answerCaller(const RequestId &request, std::span<const std::uint8_t> payload);
    std::uint32_t slotShare(const RoutedServer &server) const;
    ServerLoad &load(ServerIndex server);

    RequestSettings m_settings;
    AnswerObserver *m_observer = nullptr;
    Router &m_router;
    RandomSource &m_random;
    PacketOutput &m_output;
    PacketCounters &m_counters;
    RequestTable m_pending;
    OutcomeStore m_memory;
    RequestOwnership m_quarantine;
    std::unordered_map<std::uint64_t, ServiceState> m_services;
    std::vector<ServerLoad> m_loads;
    std::vector<ServerCandidate> m_candidates; /**< reused by choose() */
    std::size_t m_queued = 0; /**< requests in all queues */
    TimePoint m_viewDeadline = TimePoint::max();
    std::uint32_t m_liveInstances = 1;
};

} // namespace Samphirepitch
