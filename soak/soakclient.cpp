#include "soak/soakclient.h"

#include "soak/soakserver.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>

#include <algorithm>
#include <array>

namespace Samphirepitch::Soak
{

namespace
{

using asio::ip::udp;
using std::chrono::milliseconds;

constexpr std::uint64_t maxRequestsPerFlow = 8;
// Ports of a host that uses them again. With six users, whose flows last about half a second, each port comes again after some seconds.
constexpr std::uint16_t firstReusedPort = 2000;
constexpr std::uint16_t reusedPorts = 48;
constexpr milliseconds refusedPause { 200 }; // without it, refused users would open flows as fast as the processor allows
constexpr std::uint64_t maxPause = 120; // milliseconds; upper bound of the pause between requests

// A client ignores a reset of an open flow whose sequence number is further than this from its own acknowledgement number.
constexpr std::uint32_t maxResetDistance = 76'800; // bytes

bool isAcceptedReset(std::uint32_t sequence, std::uint32_t acknowledged)
{
    return sequence - acknowledged <= maxResetDistance || acknowledged - sequence <= maxResetDistance;
}

// Waits after each opening packet, before its retransmission or the end of the attempts; the same as those of the platform's clients.
constexpr std::array<milliseconds, 3> openingTimeouts { milliseconds(200), milliseconds(400), milliseconds(800) };
// The same for data packets; their sum is the timeout of a request.
constexpr std::array<milliseconds, 3> dataTimeouts { milliseconds(200), milliseconds(400), milliseconds(900) };

} // namespace

SoakClient::SoakClient(asio::any_io_executor executor, InvariantChecker &checker, RandomSource &random, const PacketFabric &fabric,
    Endpoint address, bool reusesPorts)
    : m_executor(std::move(executor))
    , m_checker(checker)
    , m_random(random)
    , m_fabric(fabric)
    , m_address(address)
    , m_socket(m_executor, udp::endpoint(asio::ip::address_v4(address.address()), address.port()))
    , m_reusesPorts(reusesPorts)
{
    asio::co_spawn(m_executor, receive(), asio::detached);
}

void SoakClient::startUser(SoakRoute route)
{
    asio::co_spawn(m_executor, runUser(std::move(route)), asio::detached);
}

void SoakClient::stop()
{
    m_stopped = true;
}

std::uint16_t SoakClient::takePort()
{
    if (!m_reusesPorts) {
        return ++m_lastPort;
    }
    const auto isInUse
        = [this](const auto &entry) { return entry.first.first.port() == static_cast<std::uint16_t>(firstReusedPort + m_lastPort); };
    do {
        m_lastPort = static_cast<std::uint16_t>((m_lastPort + 1) % reusedPorts);
    } while (std::any_of(m_flows.begin(), m_flows.end(), isInUse));
    return static_cast<std::uint16_t>(firstReusedPort + m_lastPort);
}

asio::awaitable<void> SoakClient::receive()
{
    std::array<char, 2048> buffer {};
    while (true) {
        std::error_code error;
        const std::size_t size = co_await m_socket.async_receive(asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::connection_refused) {
            continue; // the instance or server of an earlier packet has ended
        }
        if (error) {
            co_return;
        }
        if (const auto segment = Segment::decode({ buffer.data(), size })) {
            handleSegment(*segment);
        }
    }
}

void SoakClient::handleSegment(const Segment &segment)
{
    const auto found = m_flows.find({ segment.destination, segment.source });
    if (found == m_flows.end()) {
        return;
    }
    Flow &flow = *found->second;
    if (segment.has(Segment::rst)) {
        if (flow.open && !isAcceptedReset(segment.sequence, flow.receiveNext)) {
            return; // of an earlier flow from this port
        }
        if (!segment.checksumValid && flow.open
            && m_fabric.isResetViolation(segment.destination, segment.source, flow.openingSequence, flow.begunAt)) {
            m_checker.addViolation("open flow " + segment.destination.toString() + '>' + segment.source.toString()
                + " was reset while its server still serves it");
        }
        flow.reset = true;
    } else if (!segment.checksumValid) {
        m_checker.addViolation("a client received a packet whose checksum no server wrote");
    } else if (segment.has(Segment::syn)) {
        if (!flow.open) {
            flow.open = true;
            flow.token = segment.token;
            flow.receiveNext = segment.sequence + 1;
        }
    } else if (flow.open && !segment.data.empty()) {
        flow.token = segment.token;
        if (segment.sequence == flow.receiveNext) {
            flow.receiveNext += static_cast<std::uint32_t>(segment.data.size());
            flow.response = segment.data;
        }
    }
    flow.arrivalTimer.cancel();
}

asio::awaitable<void> SoakClient::runUser(SoakRoute route)
{
    asio::steady_timer pause(m_executor);
    while (!m_stopped) {
        Flow flow(m_executor);
        flow.client = Endpoint(m_address.address(), takePort());
        const auto entry = m_flows.emplace(std::pair(flow.client, route.address), &flow).first;
        bool usable = co_await open(flow, route);
        if (!usable) {
            m_checker.recordFailed(0);
            if (flow.reset) {
                pause.expires_after(refusedPause);
                co_await pause.async_wait(asio::use_awaitable);
            }
        }
        const std::uint64_t requests = 1 + m_random.below(maxRequestsPerFlow);
        for (std::uint64_t request = 0; usable && !m_stopped && request < requests; ++request) {
            usable = co_await exchange(flow, route);
            pause.expires_after(milliseconds(m_random.below(maxPause)));
            co_await pause.async_wait(asio::use_awaitable);
            usable = usable && !flow.reset;
        }
        if (usable) {
            send(flow, route, Segment::fin | Segment::ack, flow.sendNext);
        }
        m_flows.erase(entry);
    }
}

asio::awaitable<bool> SoakClient::open(Flow &flow, const SoakRoute &route)
{
    const auto first = static_cast<std::uint32_t>(m_random.next());
    flow.openingSequence = first;
    flow.begunAt = std::chrono::steady_clock::now();
    flow.sendNext = first + 1;
    std::uint32_t attempt = 0;
    for (const milliseconds wait : openingTimeouts) {
        flow.receiveNext = attempt++; // an opening packet carries its retransmission number in this field
        send(flow, route, Segment::syn, first);
        co_await waitForArrival(flow, wait);
        if (flow.open || flow.reset) {
            break;
        }
    }
    if (flow.open) {
        send(flow, route, Segment::ack, flow.sendNext);
    }
    co_return flow.open;
}

asio::awaitable<bool> SoakClient::exchange(Flow &flow, const SoakRoute &route)
{
    const SoakPayload request { m_random.next() >> 1, route.idempotent, route.service };
    const std::string data = request.encode();
    flow.response.clear();
    for (const milliseconds wait : dataTimeouts) {
        send(flow, route, Segment::ack, flow.sendNext, data);
        co_await waitForArrival(flow, wait);
        if (!flow.response.empty() || flow.reset) {
            break;
        }
    }
    flow.sendNext += static_cast<std::uint32_t>(data.size());
    if (flow.response.empty()) {
        m_checker.recordFailed(request.requestId);
        co_return false;
    }
    send(flow, route, Segment::ack, flow.sendNext);
    if (flow.response != data) {
        m_checker.addViolation("the response to \"" + data + "\" is \"" + flow.response + "\"");
    }
    m_checker.recordServed(request.requestId);
    co_return true;
}

asio::awaitable<void> SoakClient::waitForArrival(Flow &flow, milliseconds time)
{
    const bool wasOpen = flow.open;
    const auto deadline = std::chrono::steady_clock::now() + time;
    while (std::chrono::steady_clock::now() < deadline && flow.open == wasOpen && !flow.reset && flow.response.empty()) {
        std::error_code ignored;
        flow.arrivalTimer.expires_at(deadline);
        co_await flow.arrivalTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

void SoakClient::send(const Flow &flow, const SoakRoute &route, std::uint8_t flags, std::uint32_t sequence, std::string data)
{
    const Endpoint instance = m_fabric.instanceFor(flow.client, route.address);
    if (instance.isUnset()) {
        return;
    }
    const Segment segment { .source = flow.client,
        .destination = route.address,
        .token = flow.token,
        .flags = flags,
        .sequence = sequence,
        .acknowledgement = flow.receiveNext,
        .data = std::move(data) };
    const std::string bytes = segment.encode();
    std::error_code ignored; // the packet counts as lost
    m_socket.send_to(asio::buffer(bytes), { asio::ip::address_v4(instance.address()), instance.port() }, 0, ignored);
}

} // namespace Samphirepitch::Soak
