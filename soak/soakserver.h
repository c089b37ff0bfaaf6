#pragma once

#include "core/random.h"
#include "soak/invariantchecker.h"
#include "soak/segment.h"

#include <asio/any_io_executor.hpp>
#include <asio/awaitable.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/ip/udp.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace Samphirepitch::Soak
{

/** The data of a request or response; fits in one segment. */
struct SoakPayload {
    std::uint64_t requestId = 0;
    bool idempotent = false; /**< whether a server may run the request more than once */
    std::string service; /**< name of the service that has to run the request; in a response, of the one that ran it */

    std::string encode() const;

    /** Decodes a payload. @return the payload, or nothing if a field is missing or malformed */
    static std::optional<SoakPayload> decode(std::string_view data);
};

class SoakServer;

/** Is told of the flows that servers accept. */
class FlowObserver
{
public:
    virtual ~FlowObserver() = default;

    /**
     * @p server accepted the opening packet of a flow that it did not have.
     * @param route address that the client sent the packet to
     * @param instance address that the packet came from
     */
    virtual void flowAccepted(const SoakServer &server, Endpoint route, Endpoint instance) = 0;
};

/** A backend server of the platform that supports requests and responses of one segment each. */
class SoakServer : public std::enable_shared_from_this<SoakServer>
{
public:
    /**
     * Binds the address and starts to serve.
     * @param executor runs the server; has a single thread
     * @param checker receives observations and violations
     * @param observer is told of accepted flows; must outlive the server
     * @param random source of sequence numbers and work times
     * @param id id of the server, whose part after the last '-' is its hexadecimal number
     * @param service name of its service
     * @param address UDP address for packets and TCP address for connection probes
     * @param dataPort port at which clients receive packets
     */
    static std::shared_ptr<SoakServer> start(asio::any_io_executor executor, InvariantChecker &checker, FlowObserver &observer,
        RandomSource &random, std::string id, std::string service, Endpoint address, std::uint16_t dataPort);

    /** Ends the server at once and closes its sockets, so that connections are refused from then on. */
    void crash();

    /** Sets the time from which a new flow violates the drain invariant. */
    void setDrainDeadline(std::chrono::steady_clock::time_point deadline);

    /** Sets the failure domain that the server states in its entry from now on. */
    void setFailureDomain(const std::string &failureDomain);

    /** Returns whether the server is running and has the open flow from @p client to @p service with that first sequence number. */
    bool holdsFlow(Endpoint client, Endpoint service, std::uint32_t openingSequence) const;
    bool isRunning() const;

    /** Returns the start time of the server, Unix time in milliseconds. */
    std::int64_t startedAt() const;
    const std::string &id() const;
    const std::string &service() const;
    const std::string &failureDomain() const;

    /** Returns since when the server has been in its failure domain. */
    std::chrono::steady_clock::time_point failureDomainSince() const;
    Endpoint address() const;

private:
    struct Flow {
        std::uint32_t openingSequence = 0; // of the client's opening packet
        std::uint32_t receiveNext = 0; // sequence number of the client's next byte
        std::uint32_t sendNext = 0; // sequence number of the server's next byte
        std::uint32_t token = 0;
        bool open = false;
        std::optional<Segment> unacknowledged; // set while a response is sent until the client acknowledges it
    };

    using FlowKey = std::pair<Endpoint, Endpoint>;

    SoakServer(asio::any_io_executor executor, InvariantChecker &checker, FlowObserver &observer, RandomSource &random, std::string id,
        std::string service, Endpoint address, std::uint16_t dataPort);

    asio::awaitable<void> receive(std::shared_ptr<SoakServer> self);
    asio::awaitable<void> accept(std::shared_ptr<SoakServer> self);
    asio::awaitable<void> respond(std::shared_ptr<SoakServer> self, FlowKey key, SoakPayload payload);
    void handlePacket(std::string_view bytes, Endpoint instance);
    void handleData(const FlowKey &key, Flow &flow, const Segment &segment);
    void reply(const FlowKey &key, const Flow &flow, std::uint8_t flags, std::uint32_t sequence, std::string data = {});
    void send(const Segment &segment);

    asio::any_io_executor m_executor;
    InvariantChecker &m_checker;
    FlowObserver &m_observer;
    RandomSource &m_random;
    std::string m_id;
    std::uint64_t m_number;
    std::string m_service;
    std::string m_failureDomain;
    std::chrono::steady_clock::time_point m_failureDomainSince;
    Endpoint m_address;
    std::uint16_t m_dataPort;
    std::int64_t m_startedAt;
    asio::ip::udp::socket m_socket;
    asio::ip::tcp::acceptor m_acceptor;
    std::map<FlowKey, Flow> m_flows;
    std::optional<std::chrono::steady_clock::time_point> m_drainDeadline;
    bool m_running = true;
};

} // namespace Samphirepitch::Soak
