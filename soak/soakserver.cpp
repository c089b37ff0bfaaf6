#include "soak/soakserver.h"

#include "core/clock.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/redirect_error.hpp>
#include <asio/steady_timer.hpp>
#include <asio/use_awaitable.hpp>

#include <array>
#include <sstream>

namespace Samphirepitch::Soak
{

namespace
{

using asio::ip::tcp;
using asio::ip::udp;
using std::chrono::milliseconds;

constexpr std::size_t serverNumberSize = 8; // bytes; number of the server that a packet is for, or 0 for any
constexpr milliseconds minWorkTime { 5 };
constexpr std::uint64_t workJitter = 30; // milliseconds added at most
constexpr milliseconds retransmissionInterval { 200 };
constexpr int maxTransmissions = 5;

std::uint64_t readServerNumber(std::string_view bytes)
{
    std::uint64_t number = 0;
    for (std::size_t index = 0; index < serverNumberSize; ++index) {
        number = number << 8 | static_cast<std::uint8_t>(bytes[index]);
    }
    return number;
}

} // namespace

std::string SoakPayload::encode() const
{
    return std::to_string(requestId) + ' ' + (idempotent ? '1' : '0') + ' ' + service;
}

std::optional<SoakPayload> SoakPayload::decode(std::string_view data)
{
    std::istringstream stream { std::string(data) };
    SoakPayload payload;
    return stream >> payload.requestId >> payload.idempotent >> payload.service ? std::optional(payload) : std::nullopt;
}

SoakServer::SoakServer(asio::any_io_executor executor, InvariantChecker &checker, FlowObserver &observer, RandomSource &random,
    std::string id, std::string service, Endpoint address, std::uint16_t dataPort)
    : m_executor(std::move(executor))
    , m_checker(checker)
    , m_observer(observer)
    , m_random(random)
    , m_id(std::move(id))
    , m_number(std::stoull(m_id.substr(m_id.rfind('-') + 1), nullptr, 16))
    , m_service(std::move(service))
    , m_address(address)
    , m_dataPort(dataPort)
    , m_startedAt(SteadyClock().wallNow().time_since_epoch().count())
    , m_socket(m_executor, udp::endpoint(asio::ip::address_v4(address.address()), address.port()))
    , m_acceptor(m_executor, tcp::endpoint(asio::ip::address_v4(address.address()), address.port()))
{
}

std::shared_ptr<SoakServer> SoakServer::start(asio::any_io_executor executor, InvariantChecker &checker, FlowObserver &observer,
    RandomSource &random, std::string id, std::string service, Endpoint address, std::uint16_t dataPort)
{
    std::shared_ptr<SoakServer> server(
        new SoakServer(std::move(executor), checker, observer, random, std::move(id), std::move(service), address, dataPort));
    asio::co_spawn(server->m_executor, server->receive(server), asio::detached);
    asio::co_spawn(server->m_executor, server->accept(server), asio::detached);
    return server;
}

void SoakServer::crash()
{
    m_running = false;
    m_flows.clear();
    std::error_code ignored;
    m_socket.close(ignored);
    m_acceptor.close(ignored);
}

void SoakServer::setDrainDeadline(std::chrono::steady_clock::time_point deadline)
{
    m_drainDeadline = deadline;
}

void SoakServer::setFailureDomain(const std::string &failureDomain)
{
    if (m_failureDomain != failureDomain) {
        m_failureDomain = failureDomain;
        m_failureDomainSince = std::chrono::steady_clock::now();
    }
}

bool SoakServer::holdsFlow(Endpoint client, Endpoint service, std::uint32_t openingSequence) const
{
    const auto found = m_flows.find({ client, service });
    return m_running && found != m_flows.end() && found->second.open && found->second.openingSequence == openingSequence;
}

bool SoakServer::isRunning() const
{
    return m_running;
}

std::int64_t SoakServer::startedAt() const
{
    return m_startedAt;
}

const std::string &SoakServer::id() const
{
    return m_id;
}

const std::string &SoakServer::service() const
{
    return m_service;
}

const std::string &SoakServer::failureDomain() const
{
    return m_failureDomain;
}

std::chrono::steady_clock::time_point SoakServer::failureDomainSince() const
{
    return m_failureDomainSince;
}

Endpoint SoakServer::address() const
{
    return m_address;
}

asio::awaitable<void> SoakServer::receive([[maybe_unused]] std::shared_ptr<SoakServer> self)
{
    std::array<char, 2048> buffer {};
    udp::endpoint sender;
    std::error_code error;
    while (!error) {
        const std::size_t size
            = co_await m_socket.async_receive_from(asio::buffer(buffer), sender, asio::redirect_error(asio::use_awaitable, error));
        if (!error && size > serverNumberSize) {
            handlePacket({ buffer.data(), size }, Endpoint(sender.address().to_v4().to_uint(), sender.port()));
        }
    }
}

asio::awaitable<void> SoakServer::accept([[maybe_unused]] std::shared_ptr<SoakServer> self)
{
    std::error_code error;
    while (!error) {
        co_await m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
    }
}

void SoakServer::handlePacket(std::string_view bytes, Endpoint instance)
{
    const std::uint64_t targetNumber = readServerNumber(bytes);
    const auto segment = Segment::decode(bytes.substr(serverNumberSize));
    if (!segment || !segment->checksumValid) {
        m_checker.addViolation("server " + m_id + " received a packet whose length or checksum no client wrote");
        return;
    }
    if (targetNumber != m_number && targetNumber != 0) {
        return;
    }
    const FlowKey key(segment->source, segment->destination);
    auto found = m_flows.find(key);
    if (segment->has(Segment::syn)) {
        if (found != m_flows.end() && found->second.openingSequence != segment->sequence) {
            m_flows.erase(found); // the client uses the port again, and the end of its last flow was lost
            found = m_flows.end();
        }
        if (m_drainDeadline && std::chrono::steady_clock::now() > *m_drainDeadline && found == m_flows.end()) {
            m_checker.addViolation("server " + m_id + " received a new flow long after it began to drain");
        }
        Flow &flow = m_flows[key];
        if (found == m_flows.end()) {
            m_observer.flowAccepted(*this, segment->destination, instance);
            flow.openingSequence = segment->sequence;
            flow.receiveNext = segment->sequence + 1;
            flow.sendNext = static_cast<std::uint32_t>(m_random.next());
        }
        flow.token = segment->token;
        if (!flow.open) {
            reply(key, flow, Segment::syn | Segment::ack, flow.sendNext);
        }
        return;
    }
    if (found == m_flows.end() || (!found->second.open && segment->acknowledgement != found->second.sendNext + 1)) {
        if (!segment->has(Segment::rst)) {
            Flow noFlow;
            noFlow.token = segment->token;
            reply(key, noFlow, Segment::rst, segment->acknowledgement);
        }
        return;
    }
    handleData(key, found->second, *segment);
    if (segment->has(Segment::fin) || segment->has(Segment::rst)) {
        m_flows.erase(key);
    }
}

void SoakServer::handleData(const FlowKey &key, Flow &flow, const Segment &segment)
{
    flow.token = segment.token;
    if (!flow.open) {
        flow.open = true;
        ++flow.sendNext; // an opening packet takes one sequence number
    }
    if (flow.unacknowledged && segment.acknowledgement == flow.sendNext) {
        flow.unacknowledged.reset();
    }
    if (segment.data.empty()) {
        return;
    }
    if (segment.sequence != flow.receiveNext) {
        reply(key, flow, Segment::ack, flow.sendNext);
        return;
    }
    flow.receiveNext += static_cast<std::uint32_t>(segment.data.size());
    const auto payload = SoakPayload::decode(segment.data);
    if (!payload || payload->service != m_service) {
        m_checker.addViolation(
            "server " + m_id + " of " + m_service + " received a request for " + (payload ? payload->service : "nothing"));
        return;
    }
    m_checker.recordRun(payload->requestId, payload->idempotent);
    asio::co_spawn(m_executor, respond(shared_from_this(), key, *payload), asio::detached);
}

asio::awaitable<void> SoakServer::respond([[maybe_unused]] std::shared_ptr<SoakServer> self, FlowKey key, SoakPayload payload)
{
    asio::steady_timer timer(m_executor, minWorkTime + milliseconds(m_random.below(workJitter)));
    co_await timer.async_wait(asio::use_awaitable);
    auto found = m_flows.find(key);
    if (!m_running || found == m_flows.end()) {
        co_return;
    }
    const std::string data = payload.encode();
    const std::uint32_t first = found->second.sendNext;
    found->second.sendNext += static_cast<std::uint32_t>(data.size());
    found->second.unacknowledged = Segment();
    for (int transmission = 0; transmission < maxTransmissions && m_running && found != m_flows.end() && found->second.unacknowledged;
         ++transmission) {
        reply(key, found->second, Segment::ack, first, data);
        timer.expires_after(retransmissionInterval);
        co_await timer.async_wait(asio::use_awaitable);
        found = m_flows.find(key);
    }
}

void SoakServer::reply(const FlowKey &key, const Flow &flow, std::uint8_t flags, std::uint32_t sequence, std::string data)
{
    send({ .source = key.second,
        .destination = key.first,
        .token = flow.token,
        .flags = flags,
        .sequence = sequence,
        .acknowledgement = flow.receiveNext,
        .data = std::move(data) });
}

void SoakServer::send(const Segment &segment)
{
    const std::string bytes = segment.encode();
    std::error_code ignored; // the packet counts as lost
    m_socket.send_to(asio::buffer(bytes), { asio::ip::address_v4(segment.destination.address()), m_dataPort }, 0, ignored);
}

} // namespace Samphirepitch::Soak
