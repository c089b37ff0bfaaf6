#pragma once

#include "core/clock.h"
#include "core/random.h"
#include "lib/backendfaults.h"
#include "lib/changesignal.h"
#include "lib/datagramsocket.h"
#include "lib/rpcmessage.h"
#include "lib/runledger.h"
#include "objectstore/httphandler.h"

#include <asio/steady_timer.hpp>

#include <deque>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace Samphirepitch::StandIn
{

/**
 * A simulated backend server. It receives datagrams with a ProxyHeader, runs each request for a service time in one of its slots, and
 * queues requests while all slots are in use. It sends responses to the instance that sent the request, and injects faults on demand.
 * As an HttpHandler, it serves the health endpoint.
 */
class BackendStandIn : public HttpHandler
{
public:
    /** Start options of a backend server. */
    struct Options {
        std::string name;
        Endpoint address; /**< address for datagrams; port 0 takes a free port */
        std::uint32_t slots = 2; /**< maximum number of requests that run at the same time */
        std::uint32_t queueLimit = 16; /**< maximum number of queued requests; further requests are shed */
        std::chrono::microseconds serviceTime { 2000 }; /**< of a request without "work_us" */
        std::chrono::milliseconds coldStart { 0 }; /**< time after the start in which service times are multiplied by coldFactor */
        std::uint32_t coldFactor = 5;
        std::uint64_t seed = 1; /**< with the name, seeds the random choice of faults */
    };

    /** Counters since the start. */
    struct Counters {
        std::uint64_t requests = 0;
        std::uint64_t answered = 0; /**< requests that ran to their end */
        std::uint64_t shed = 0; /**< refused because all slots and the queue were full */
        std::uint64_t expired = 0; /**< refused because the deadline had passed */
        std::uint64_t cancelled = 0; /**< removed from the queue, or stopped while running */
        std::uint64_t notifications = 0;
        std::uint64_t opaque = 0; /**< payloads that are neither request nor notification; they are echoed */
        std::uint64_t malformed = 0; /**< datagrams whose header cannot be decoded */
    };

    /**
     * Binds the address and starts to receive.
     * @param executor runs all operations; single-threaded; the server must outlive its last operation
     * @param clock source of time; must outlive the server
     * @param options address, capacity and service times
     * @param ledger records each run; must outlive the server
     * @param batch buffers for received datagrams; shared by the servers of a thread; must outlive the server
     * @return the server; InputOutput if the address cannot be bound
     */
    static Result<std::unique_ptr<BackendStandIn>> start(
        const asio::any_io_executor &executor, const Clock &clock, const Options &options, RunLedger &ledger, ReceiveBatch &batch);

    /** Serves /health; 404 for other paths. The health faults apply. */
    asio::awaitable<std::optional<HttpResponse>> handle(HttpRequest request) override;

    void setFaults(const BackendFaults &faults);
    const BackendFaults &faults() const;
    const Counters &counters() const;
    const std::string &name() const;
    Endpoint address() const;
    std::size_t flowCount() const;

    /** Sends a notification [2, "push", [name, count]] to the caller of each known flow. @return the number of flows */
    std::size_t pushToFlows();

private:
    /** The source of a message, and the destination of its response. */
    struct Origin {
        Endpoint caller;
        Endpoint service;
        Endpoint instance; /**< source of the datagram; responses are sent to it */
    };
    struct Request {
        Origin origin;
        RpcMessage message;
        std::optional<std::uint64_t> deadline; /**< milliseconds since the Unix epoch */

        RunLedger::Key key() const;
    };
    struct RunningRequest {
        RunLedger::Key key;
        asio::steady_timer timer;
        bool cancelled = false;
    };
    struct Flow {
        Origin origin;
        std::uint64_t received = 0; /**< notifications and payloads that are no RPC message */
        std::uint64_t pushed = 0; /**< notifications sent by pushToFlows() */
    };
    struct HealthReport {
        std::string state = "ok";
        std::size_t inFlight = 0;
        std::size_t queued = 0;
    };

    BackendStandIn(const asio::any_io_executor &executor, const Clock &clock, Options options, RunLedger &ledger, ReceiveBatch &batch,
        std::unique_ptr<DatagramSocket> socket);

    asio::awaitable<void> receive();
    void handleDatagram(std::span<const std::uint8_t> datagram, Endpoint sender);
    void handleRequest(Request request);
    void handleNotification(const Origin &origin);

    /** Removes a queued request and responds that it was not run; or stops a running request, which gets no response. */
    void cancel(const RunLedger::Key &key);

    /** Starts queued requests while slots are free. */
    void startQueued();
    asio::awaitable<void> runRequest(Request request, std::list<RunningRequest>::iterator running);
    asio::awaitable<void> pauseWhileFrozen();
    asio::awaitable<void> sendLate(Origin origin, std::string payload);

    /** Sends a response, with the faults that apply to responses. */
    void sendResponse(const Origin &origin, std::uint32_t id, const std::string &payload);
    void send(const Origin &origin, std::string_view payload);

    /** Returns whether the deadline of a request has passed. */
    bool isExpired(const Request &request) const;

    /** Returns true with a probability of @p percent. */
    bool sampleFault(double percent);
    Flow &findOrCreateFlow(const Origin &origin);
    HealthReport currentHealth() const;

    asio::any_io_executor m_executor;
    const Clock &m_clock;
    Options m_options;
    std::unique_ptr<DatagramSocket> m_socket;
    RunLedger &m_ledger;
    ReceiveBatch &m_batch;
    SeededRandom m_random;
    TimePoint m_coldStartEnd;
    BackendFaults m_faults;
    Counters m_counters;
    ChangeSignal m_faultsChanged;
    std::deque<Request> m_queue;
    std::list<RunningRequest> m_runningRequests;
    std::unordered_map<std::uint64_t, Flow> m_flows;
    std::optional<Origin> m_previousOrigin; /**< of the previous request; crossed responses are sent to its caller */
    std::uint32_t m_previousRequestId = 0;
    HealthReport m_cachedHealth;
    TimePoint m_cachedHealthExpiry {};
};

} // namespace Samphirepitch::StandIn
