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

/** One backend server: slots, a queue, flows and a health endpoint (as HttpHandler). */
class BackendStandIn : public HttpHandler
{
public:
    /** What a backend server is started with. */
    struct Options {
        std::string name;
        Endpoint address; /**< for datagrams; port 0 takes a free port */
        std::uint32_t slots = 2; /**< requests that run at a time */
        std::uint32_t queueLimit = 16; /**< requests that wait; further ones are shed */
        std::chrono::microseconds work { 2000 }; /**< service time of a request that names none */
        std::chrono::milliseconds coldStart { 0 }; /**< time after the start in which requests take coldFactor times as long */
        std::uint32_t coldFactor = 5;
        std::uint64_t seed = 1;
    };

    /** What a backend server has done. */
    struct Counters {
        std::uint64_t requests = 0;
        std::uint64_t answered = 0;
        std::uint64_t shed = 0;
        std::uint64_t expired = 0; /**< refused because the deadline had passed */
        std::uint64_t cancelled = 0; /**< removed from the queue, or stopped while running */
        std::uint64_t notifications = 0;
        std::uint64_t opaque = 0; /**< payloads that are no RPC message; echoed */
        std::uint64_t malformed = 0; /**< datagrams without a readable header */
    };

    /**
     * Binds the address and starts to serve.
     * @param executor runs all operations; single-threaded; the server must outlive its last operation
     * @param clock must outlive the server
     * @param ledger gets each run; must outlive the server
     * @param batch receives datagrams; shared by the servers of a thread; must outlive the server
     * @return the server, or InputOutput
     */
    static Result<std::unique_ptr<BackendStandIn>> start(
        const asio::any_io_executor &executor, const Clock &clock, const Options &options, RunLedger &ledger, ReceiveBatch &batch);

    /** Answers GET /health. */
    asio::awaitable<std::optional<HttpResponse>> handle(HttpRequest request) override;

    void changeFaults(const BackendFaults &faults);
    const BackendFaults &faults() const;
    const Counters &counters() const;
    const std::string &name() const;
    Endpoint address() const;
    std::size_t flowCount() const;

    /** Sends a notification ["push", [name, count]] to the caller of each open flow. @return the number of flows */
    std::size_t pushToFlows();

private:
    /** Where a message came from. */
    struct Origin {
        Endpoint caller;
        Endpoint service;
        Endpoint instance; /**< UDP source, which answers go to */
    };
    struct Request {
        Origin origin;
        RpcMessage message;
        std::optional<std::uint64_t> deadline; /**< milliseconds since the Unix epoch */

        RunLedger::Key key() const;
    };
    struct Run {
        RunLedger::Key key;
        asio::steady_timer timer;
        bool cancelled = false;
    };
    struct Flow {
        Origin origin;
        std::uint64_t received = 0;
        std::uint64_t pushed = 0;
    };
    struct HealthReport {
        std::string state = "ok";
        std::size_t inFlight = 0;
        std::size_t queued = 0;
    };

    BackendStandIn(const asio::any_io_executor &executor, const Clock &clock, Options options, RunLedger &ledger, ReceiveBatch &batch,
        std::unique_ptr<DatagramSocket> socket);

    asio::awaitable<void> receive();
    void takeDatagram(std::span<const std::uint8_t> datagram, Endpoint sender);
    void takeRequest(Request request);
    void takeNotification(const Origin &origin);
    void cancel(const RunLedger::Key &key);
    void startQueued();
    asio::awaitable<void> run(Request request, std::list<Run>::iterator entry);
    asio::awaitable<void> pauseWhileFrozen();
    asio::awaitable<void> sendLate(Origin origin, std::string payload);
    void answer(const Origin &origin, std::uint32_t id, const std::string &payload);
    void send(const Origin &origin, std::string_view payload);
    bool expired(const Request &request) const;
    bool happens(double percent);
    Flow &flow(const Origin &origin);
    HealthReport currentHealth() const;

    asio::any_io_executor m_executor;
    const Clock &m_clock;
    Options m_options;
    std::unique_ptr<DatagramSocket> m_socket;
    RunLedger &m_ledger;
    ReceiveBatch &m_batch;
    SeededRandom m_random;
    TimePoint m_warmFrom;
    BackendFaults m_faults;
    Counters m_counters;
    ChangeSignal m_thawed;
    std::deque<Request> m_queue;
    std::list<Run> m_running;
    std::unordered_map<std::uint64_t, Flow> m_flows;
    std::optional<Origin> m_lastOrigin; /**< of another request, for crossed answers */
    std::uint32_t m_lastId = 0;
    HealthReport m_reportedHealth;
    TimePoint m_reportedUntil {};
};

} // namespace Samphirepitch::StandIn
