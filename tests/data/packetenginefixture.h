#pragma once

#include "core/random.h"
#include "data/packetengine.h"
#include "data/rpcrefusal.h"
#include "membership/memberview.h"
#include "routing/samplepools.h"

#include <msgpack.hpp>

#include <algorithm>
#include <string>
#include <vector>

namespace Samphirepitch
{

/** A datagram that a packet engine sent. */
struct SentDatagram {
    enum class Target {
        Server,
        Fabric,
        Instance,
    };
    Target target = Target::Server;
    Endpoint receiver;
    ProxyHeader header { {} };
    std::vector<std::uint8_t> payload;
};

/** A packet engine with a manual clock, which stores the datagrams that the engine sends. */
class PacketEngineFixture : public PacketOutput, public EventSink
{
public:
    explicit PacketEngineFixture(const std::string &instance = "i1", ChooserKind chooser = ChooserKind::LocalFirst)
        : engine({ .instance = instance,
                     .failureDomain = "a",
                     .maxPendingRequests = 64,
                     .maxStoredOutcomes = 64,
                     .chooser = chooser,
                     .isNewId = true },
            1000, clock, random, *this, *this, nullptr)
    {
    }

    void sendToServer(Endpoint server, const ProxyHeader &header, std::span<const std::uint8_t> payload) override
    {
        sent.push_back({ SentDatagram::Target::Server, server, header, { payload.begin(), payload.end() } });
    }

    void sendToFabric(const ProxyHeader &header, std::span<const std::uint8_t> payload) override
    {
        sent.push_back({ SentDatagram::Target::Fabric, {}, header, { payload.begin(), payload.end() } });
    }

    void sendToInstance(Endpoint instance, const ProxyHeader &header, std::span<const std::uint8_t> payload) override
    {
        sent.push_back({ SentDatagram::Target::Instance, instance, header, { payload.begin(), payload.end() } });
    }

    void record(EventSeverity, std::string_view, std::vector<EventField>) override
    {
    }

    static std::vector<std::uint8_t> bytesOf(const ProxyHeader &header, const std::vector<std::uint8_t> &payload)
    {
        std::vector<std::uint8_t> bytes(ProxyHeader::maxSize);
        bytes.resize(header.encode(bytes));
        bytes.insert(bytes.end(), payload.begin(), payload.end());
        return bytes;
    }

    static std::vector<std::uint8_t> requestBytes(std::uint32_t id, const std::string &method)
    {
        return serialize(std::make_tuple(0, id, method, std::vector<int> { 1 }));
    }

    static std::vector<std::uint8_t> responseBytes(std::uint32_t id, const std::string &result)
    {
        return serialize(std::make_tuple(1, id, msgpack::type::nil_t(), result));
    }

    static std::vector<std::uint8_t> refusalBytes(std::uint32_t id, std::string_view outcome)
    {
        const RpcRefusal refusal(id, outcome, "shed", "server", std::chrono::milliseconds(1));
        return { refusal.bytes().begin(), refusal.bytes().end() };
    }

    static Endpoint caller(std::uint16_t port = 4000)
    {
        return Endpoint(0x7f000001, port);
    }

    /** Passes a request of a caller to the engine, as from the fabric. */
    void request(std::uint32_t id, const std::string &method, std::uint16_t callerPort = 4000)
    {
        const auto bytes = bytesOf(
            ProxyHeader({ .source = caller(callerPort), .destination = SamplePools::serviceAddress() }), requestBytes(id, method));
        engine.handleFrontendDatagram(bytes, Endpoint(0x7f000002, 1), clock.now());
    }

    /** Passes a datagram of a backend server for a caller to the engine. */
    void respond(Endpoint server, const std::vector<std::uint8_t> &payload, std::uint16_t callerPort = 4000)
    {
        const auto bytes = bytesOf(ProxyHeader({ .source = SamplePools::serviceAddress(), .destination = caller(callerPort) }), payload);
        engine.handleBackendDatagram(bytes, server, clock.now());
    }

    std::size_t count(SentDatagram::Target target) const
    {
        return static_cast<std::size_t>(
            std::count_if(sent.begin(), sent.end(), [target](const SentDatagram &datagram) { return datagram.target == target; }));
    }

    /** Returns whether the last sent datagram goes to a caller and its payload contains @p outcome. */
    bool lastResponseContains(std::string_view outcome) const
    {
        const std::string text(sent.back().payload.begin(), sent.back().payload.end());
        return sent.back().target == SentDatagram::Target::Fabric && text.find(outcome) != std::string::npos;
    }

    ManualClock clock;
    SeededRandom random { 20261204 };
    std::vector<SentDatagram> sent;
    PacketEngine engine;

private:
    template<typename Message>
    static std::vector<std::uint8_t> serialize(const Message &message)
    {
        msgpack::sbuffer buffer;
        msgpack::pack(buffer, message);
        return { buffer.data(), buffer.data() + buffer.size() };
    }
};

} // namespace Samphirepitch
