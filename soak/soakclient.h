#pragma once

#include "core/random.h"
#include "soak/invariantchecker.h"
#include "soak/segment.h"

#include <asio/any_io_executor.hpp>
#include <asio/awaitable.hpp>
#include <asio/ip/udp.hpp>
#include <asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Samphirepitch::Soak
{

/** Where a client's packets go; the place of the platform's routers. */
class PacketFabric
{
public:
    virtual ~PacketFabric() = default;

    /** Returns the instance that gets the packets of a flow now; unset if there is none. */
    virtual Endpoint instanceFor(Endpoint client, Endpoint service) const = 0;

    /** A client got a reset of the system's own on an open flow. @return whether that breaks a promise */
    virtual bool isResetViolation(Endpoint client, Endpoint service) const = 0;
};

/** A service address and what its requests are. */
struct SoakRoute {
    Endpoint address;
    std::string service;
    bool idempotent = false;
};

/** A client host with several users, who open flows, send requests with pauses and repeat what is lost. */
class SoakClient
{
public:
    /** @param address of the host; its port is where all packets to clients go */
    SoakClient(
        asio::any_io_executor executor, InvariantChecker &checker, RandomSource &random, const PacketFabric &fabric, Endpoint address);

    /** Starts a user of a route; it ends after stop(). */
    void startUser(SoakRoute route);

    void stop();

private:
    /** One flow; the user waits for what arrives on it. */
    struct Flow {
        explicit Flow(asio::any_io_executor executor)
            : arrivalTimer(std::move(executor))
        {
        }

        Endpoint client;
        std::uint32_t token = 0;
        std::uint32_t sendNext = 0;
        std::uint32_t receiveNext = 0;
        bool open = false;
        bool reset = false;
        std::string response;
        asio::steady_timer arrivalTimer;
    };

    asio::awaitable<void> receive();
    asio::awaitable<void> runUser(SoakRoute route);
    asio::awaitable<bool> open(Flow &flow, const SoakRoute &route);
    asio::awaitable<bool> exchange(Flow &flow, const SoakRoute &route);
    asio::awaitable<void> waitForArrival(Flow &flow, std::chrono::milliseconds time);
    void handleSegment(const Segment &segment);
    void send(const Flow &flow, const SoakRoute &route, std::uint8_t flags, std::uint32_t sequence, std::string data = {});

    asio::any_io_executor m_executor;
    InvariantChecker &m_checker;
    RandomSource &m_random;
    const PacketFabric &m_fabric;
    Endpoint m_address;
    asio::ip::udp::socket m_socket;
    std::map<std::pair<Endpoint, Endpoint>, Flow *> m_flows;
    std::uint16_t m_nextPort = 1024;
    bool m_stopped = false;
};

} // namespace Samphirepitch::Soak
