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

/** Chooses the instance for each packet of a client, in place of the platform's routers. */
class PacketFabric
{
public:
    virtual ~PacketFabric() = default;

    /** Returns the data address of the instance that the packets of a flow go to now, or an unset endpoint if there is none. */
    virtual Endpoint instanceFor(Endpoint client, Endpoint service) const = 0;

    /**
     * Returns whether a reset that the load balancer wrote violates an invariant on the open flow from @p client to @p service.
     * @param openingSequence sequence number of the flow's opening packet, which tells it from earlier flows from the same port
     * @param begunAt when the client sent the opening packet
     */
    virtual bool isResetViolation(
        Endpoint client, Endpoint service, std::uint32_t openingSequence, std::chrono::steady_clock::time_point begunAt) const = 0;
};

/** A service address and the kind of its requests. */
struct SoakRoute {
    Endpoint address;
    std::string service; /**< name of the service */
    bool idempotent = false; /**< whether a server may run a request more than once */
};

/** A client host with several users. Each user opens flows, sends requests with pauses, and retransmits lost packets. */
class SoakClient
{
public:
    /**
     * Binds the address and starts to receive.
     * @param executor runs the client; has a single thread
     * @param checker receives observations and violations
     * @param random source of ids, sequence numbers and pauses
     * @param fabric chooses the instances
     * @param address address of the host; all packets to its flows arrive at its port
     * @param reusesPorts whether flows use the ports of closed flows again after some seconds
     */
    SoakClient(asio::any_io_executor executor, InvariantChecker &checker, RandomSource &random, const PacketFabric &fabric,
        Endpoint address, bool reusesPorts);

    /** Starts a user of @p route, which runs until stop(). */
    void startUser(SoakRoute route);

    /** Ends all users after their current request. */
    void stop();

private:
    /** The state of one flow; lives as long as its user uses it. */
    struct Flow {
        explicit Flow(asio::any_io_executor executor)
            : arrivalTimer(std::move(executor))
        {
        }

        Endpoint client;
        std::uint32_t openingSequence = 0;
        std::chrono::steady_clock::time_point begunAt;
        std::uint32_t token = 0;
        std::uint32_t sendNext = 0; /**< sequence number of the next byte to send */
        std::uint32_t receiveNext = 0; /**< sequence number of the next byte to receive */
        bool open = false;
        bool reset = false;
        std::string response;
        asio::steady_timer arrivalTimer; /**< cancelled when a packet arrives */
    };

    std::uint16_t takePort();
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
    bool m_reusesPorts = false;
    std::uint16_t m_lastPort = 1024;
    bool m_stopped = false;
};

} // namespace Samphirepitch::Soak
