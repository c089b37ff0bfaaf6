#include "lib/backendstandin.h"

#include "core/hash.h"
#include "data/proxyheader.h"
#include "lib/receivebatch.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>
#include <utility>

namespace Samphirepitch::StandIn
{

namespace
{

constexpr std::chrono::milliseconds maxFrozenWait { 60000 };

std::uint64_t flowKey(Endpoint service, Endpoint caller)
{
    const std::uint64_t left = static_cast<std::uint64_t>(service.address()) << 16 | service.port();
    const std::uint64_t right = static_cast<std::uint64_t>(caller.address()) << 16 | caller.port();
    return mix64(left, right);
}

std::uint16_t clampToUint16(std::size_t count)
{
    return static_cast<std::uint16_t>(std::min<std::size_t>(count, std::numeric_limits<std::uint16_t>::max()));
}

} // namespace

Result<std::unique_ptr<BackendStandIn>> BackendStandIn::start(
    const asio::any_io_executor &executor, const Clock &clock, const Options &options, RunLedger &ledger, ReceiveBatch &batch)
{
    auto socket = DatagramSocket::bind(executor, options.address);
    if (!socket) {
        return tl::unexpected(socket.error());
    }
    std::unique_ptr<BackendStandIn> server(new BackendStandIn(executor, clock, options, ledger, batch, std::move(*socket)));
    asio::co_spawn(executor, server->receive(), asio::detached);
    return server;
}

BackendStandIn::BackendStandIn(const asio::any_io_executor &executor, const Clock &clock, Options options, RunLedger &ledger,
    ReceiveBatch &batch, std::unique_ptr<DatagramSocket> socket)
    : m_executor(executor)
    , m_clock(clock)
    , m_options(std::move(options))
    , m_socket(std::move(socket))
    , m_ledger(ledger)
    , m_batch(batch)
    , m_random(hash64(m_options.name, m_options.seed))
    , m_coldStartEnd(clock.now() + m_options.coldStart)
{
}

RunLedger::Key BackendStandIn::Request::key() const
{
    return { origin.service, origin.caller, message.id };
}

asio::awaitable<void> BackendStandIn::receive()
{
    bool open = co_await m_socket->waitForDatagram();
    while (open) {
        co_await pauseWhileFrozen();
        const std::size_t count = m_batch.receive(m_socket->descriptor());
        for (std::size_t index = 0; index < count; ++index) {
            handleDatagram(m_batch.datagram(index), m_batch.sender(index));
        }
        open = co_await m_socket->waitForDatagram();
    }
}

asio::awaitable<void> BackendStandIn::pauseWhileFrozen()
{
    while (m_faults.freeze) {
        co_await m_faultsChanged.wait(m_executor, maxFrozenWait);
    }
}

void BackendStandIn::handleDatagram(std::span<const std::uint8_t> datagram, Endpoint sender)
{
    std::span<const std::uint8_t> payload;
    const auto header = ProxyHeader::decode(datagram, payload);
    if (!header) {
        ++m_counters.malformed;
        return;
    }
    const Origin origin { header->source(), header->destination(), sender };
    if (header->cancelledRequest()) {
        cancel({ origin.service, origin.caller, *header->cancelledRequest() });
    }
    if (payload.empty()) {
        return;
    }
    auto message = RpcMessage::decode(payload);
    if (!message) {
        ++m_counters.opaque;
        ++findOrCreateFlow(origin).received;
        send(origin, std::string_view(reinterpret_cast<const char *>(payload.data()), payload.size()));
    } else if (message->kind == RpcKind::Notification) {
        handleNotification(origin);
    } else {
        handleRequest({ origin, std::move(*message), header->deadline() });
    }
}

void BackendStandIn::handleRequest(Request request)
{
    ++m_counters.requests;
    if (isExpired(request)) {
        ++m_counters.expired;
        sendResponse(request.origin, request.message.id, RpcMessage::encodeNotRun(request.message.id, "deadline"));
        return;
    }
    if (m_runningRequests.size() >= m_options.slots && m_queue.size() >= m_options.queueLimit) {
        ++m_counters.shed;
        sendResponse(request.origin, request.message.id, RpcMessage::encodeNotRun(request.message.id, "shed"));
        return;
    }
    m_queue.push_back(std::move(request));
    startQueued();
}

void BackendStandIn::startQueued()
{
    while (!m_queue.empty() && m_runningRequests.size() < m_options.slots) {
        Request request = std::move(m_queue.front());
        m_queue.pop_front();
        if (isExpired(request)) {
            ++m_counters.expired;
            sendResponse(request.origin, request.message.id, RpcMessage::encodeNotRun(request.message.id, "deadline"));
            continue;
        }
        const auto running
            = m_runningRequests.insert(m_runningRequests.end(), RunningRequest { request.key(), asio::steady_timer(m_executor) });
        asio::co_spawn(m_executor, runRequest(std::move(request), running), asio::detached);
    }
}

asio::awaitable<void> BackendStandIn::runRequest(Request request, std::list<RunningRequest>::iterator running)
{
    const std::uint32_t runs = m_ledger.record(running->key, request.message.method, m_options.name);
    std::chrono::microseconds serviceTime = request.message.serviceTime.value_or(m_options.serviceTime);
    if (m_clock.now() < m_coldStartEnd) {
        serviceTime *= m_options.coldFactor;
    }
    if (serviceTime.count() > 0) {
        running->timer.expires_after(serviceTime);
        std::error_code ignored;
        co_await running->timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    co_await pauseWhileFrozen();
    const bool cancelled = running->cancelled;
    m_runningRequests.erase(running);
    if (!cancelled) {
        ++m_counters.answered;
        const std::string service = request.origin.service.toString();
        sendResponse(request.origin, request.message.id,
            RpcMessage::encodeResult(request.message.id, m_options.name, service, request.message.body, runs));
    }
    startQueued();
}

void BackendStandIn::cancel(const RunLedger::Key &key)
{
    const auto queued = std::find_if(m_queue.begin(), m_queue.end(), [&key](const Request &request) { return request.key() == key; });
    if (queued != m_queue.end()) {
        const Request request = std::move(*queued);
        m_queue.erase(queued);
        ++m_counters.cancelled;
        sendResponse(request.origin, request.message.id, RpcMessage::encodeNotRun(request.message.id, "cancelled"));
        return;
    }
    for (RunningRequest &candidate : m_runningRequests) {
        if (candidate.key == key && !candidate.cancelled) {
            candidate.cancelled = true;
            candidate.timer.cancel();
            ++m_counters.cancelled;
        }
    }
}

void BackendStandIn::handleNotification(const Origin &origin)
{
    ++m_counters.notifications;
    const std::uint64_t count = ++findOrCreateFlow(origin).received;
    send(origin, RpcMessage::encodeNotification("seen", m_options.name, count));
}

BackendStandIn::Flow &BackendStandIn::findOrCreateFlow(const Origin &origin)
{
    Flow &flow = m_flows[flowKey(origin.service, origin.caller)];
    flow.origin = origin;
    return flow;
}

std::size_t BackendStandIn::pushToFlows()
{
    for (auto &[key, flow] : m_flows) {
        send(flow.origin, RpcMessage::encodeNotification("push", m_options.name, ++flow.pushed));
    }
    return m_flows.size();
}

void BackendStandIn::sendResponse(const Origin &origin, std::uint32_t id, const std::string &payload)
{
    if (sampleFault(m_faults.crossedPercent) && m_previousOrigin && m_previousRequestId != id) {
        Origin crossed = *m_previousOrigin;
        crossed.service = origin.service;
        send(crossed, payload);
    }
    m_previousOrigin = origin;
    m_previousRequestId = id;
    if (sampleFault(m_faults.lostPercent)) {
        return;
    }
    if (sampleFault(m_faults.latePercent)) {
        asio::co_spawn(m_executor, sendLate(origin, payload), asio::detached);
        return;
    }
    send(origin, payload);
    if (sampleFault(m_faults.duplicatePercent)) {
        send(origin, payload);
    }
}

asio::awaitable<void> BackendStandIn::sendLate(Origin origin, std::string payload)
{
    co_await pauseFor(m_executor, m_faults.lateDelay);
    send(origin, payload);
}

void BackendStandIn::send(const Origin &origin, std::string_view payload)
{
    const ProxyHeader header({ .source = origin.service,
        .destination = origin.caller,
        .load = LoadReport { clampToUint16(m_runningRequests.size()), clampToUint16(m_queue.size()) } });
    std::vector<std::uint8_t> datagram(ProxyHeader::maxSize);
    datagram.resize(header.encode(datagram));
    datagram.insert(datagram.end(), payload.begin(), payload.end());
    m_socket->outgoing().add(origin.instance, datagram);
    m_socket->outgoing().flush();
}

bool BackendStandIn::isExpired(const Request &request) const
{
    const auto now = static_cast<std::uint64_t>(m_clock.wallNow().time_since_epoch().count());
    return request.deadline && now > *request.deadline;
}

bool BackendStandIn::sampleFault(double percent)
{
    return percent > 0 && m_random.uniform() * 100 < percent;
}

BackendStandIn::HealthReport BackendStandIn::currentHealth() const
{
    HealthReport report { "ok", m_runningRequests.size(), m_queue.size() };
    if (m_faults.draining) {
        report.state = "draining";
    } else if (m_queue.size() >= m_options.queueLimit) {
        report.state = "overloaded";
    }
    return report;
}

asio::awaitable<std::optional<HttpResponse>> BackendStandIn::handle(HttpRequest request)
{
    if (m_faults.healthDown) {
        co_return std::nullopt;
    }
    if (request.path() != "/health") {
        co_return HttpResponse::empty(404);
    }
    const TimePoint now = m_clock.now();
    if (now >= m_cachedHealthExpiry) {
        m_cachedHealth = currentHealth();
        m_cachedHealthExpiry = now + m_faults.healthLag;
    }
    const HealthReport report = m_faults.healthState.empty() ? m_cachedHealth : HealthReport { m_faults.healthState, 0, 0 };
    co_return HttpResponse::of(200, "application/json",
        nlohmann::json { { "state", report.state }, { "in_flight", report.inFlight }, { "queued", report.queued } }.dump());
}

void BackendStandIn::setFaults(const BackendFaults &faults)
{
    m_faults = faults;
    m_faultsChanged.notify();
}

const BackendFaults &BackendStandIn::faults() const
{
    return m_faults;
}

const BackendStandIn::Counters &BackendStandIn::counters() const
{
    return m_counters;
}

const std::string &BackendStandIn::name() const
{
    return m_options.name;
}

Endpoint BackendStandIn::address() const
{
    return m_socket->address();
}

std::size_t BackendStandIn::flowCount() const
{
    return m_flows.size();
}

} // namespace Samphirepitch::StandIn
