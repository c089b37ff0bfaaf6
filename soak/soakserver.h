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

/** A request or answer of the soak: one segment of data. */
struct SoakPayload {
    std::uint64_t requestId = 0;
    bool idempotent = false;
    std::string service; /**< that has to run it; in an answer, that ran it */

    std::string encode() const;
    static std::optional<SoakPayload> decode(std::string_view data);
};

/** A backend server of the platform, as far as one segment a request needs it. */
class SoakServer : public std::enable_shared_from_this<SoakServer>
{
public:
    /** Binds address and starts to serve. @param dataPort at which clients take packets */
    static std::shared_ptr<SoakServer> start(asio::any_io_executor executor, InvariantChecker &checker, RandomSource &random,
        std::string id, std::string service, Endpoint address, std::uint16_t dataPort);

    /** Ends at once; its host refuses connections from then on. */
    void crash();

    /** Takes no new flows later than @p deadline, by the promise of the system. */
    void setDrainDeadline(std::chrono::steady_clock::time_point deadline);

    bool holdsFlow(Endpoint client, Endpoint service) const;
    bool isRunning() const;

    /** Returns the Unix time of its start in milliseconds. */
    std::int64_t startedAt() const;
    const std::string &id() const;
    const std::string &service() const;
    Endpoint address() const;

private:
    struct Flow {
        std::uint32_t receiveNext = 0; // number of the client's next byte
        std::uint32_t sendNext = 0; // number of the own next byte
        std::uint32_t token = 0;
        bool open = false;
        std::optional<Segment> unacknowledged; // the answer that is repeated until the client has it
    };

    using FlowKey = std::pair<Endpoint, Endpoint>;

    SoakServer(asio::any_io_executor executor, InvariantChecker &checker, RandomSource &random, std::string id, std::string service,
        Endpoint address, std::uint16_t dataPort);

    asio::awaitable<void> receive(std::shared_ptr<SoakServer> self);
    asio::awaitable<void> accept(std::shared_ptr<SoakServer> self);
    asio::awaitable<void> respond(std::shared_ptr<SoakServer> self, FlowKey key, SoakPayload payload);
    void handlePacket(std::string_view bytes);
    void handleData(const FlowKey &key, Flow &flow, const Segment &segment);
    void reply(const FlowKey &key, const Flow &flow, std::uint8_t flags, std::uint32_t sequence, std::string data = {});
    void send(const Segment &segment);

    asio::any_io_executor m_executor;
    InvariantChecker &m_checker;
    RandomSource &m_random;
    std::string m_id;
    std::uint64_t m_number;
    std::string m_service;
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
