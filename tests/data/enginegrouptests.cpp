#include "data/packetenginefixture.h"

#include <catch2/catch.hpp>

#include <map>
#include <memory>
#include <set>

using namespace Samphirepitch;
using namespace std::chrono_literals;

namespace
{

using CallId = std::pair<std::uint16_t, std::uint32_t>; // port of the caller, and request id

/** Nine instances, their backend servers and callers in one process. Each request goes to a random instance. */
class EngineGroup : public FlowExceptionTransport
{
public:
    explicit EngineGroup(std::uint64_t seed)
        : m_random(seed)
    {
        for (int index = 0; index < 9; ++index) {
            const std::string id = "i" + std::to_string(index);
            m_states[id] = MemberState::Alive;
            m_instances[id] = std::make_unique<Instance>(*this, id, m_clock, m_random);
        }
        publishView();
        m_clock.advance(60s); // past the quarantine after the start
    }

    void applyGeneration(const ConfigGeneration &generation)
    {
        for (auto &[id, instance] : m_instances) {
            instance->engine.configurationChanged(generation);
        }
        for (auto &[id, instance] : m_instances) {
            instance->engine.router().activate(generation.head.generation);
        }
    }

    void setState(const std::string &id, MemberState state)
    {
        m_states[id] = state;
        if (state == MemberState::Dead) {
            m_instances.erase(id);
        }
        publishView();
    }

    /**
     * Sends a request to a random instance.
     * @param callId the request
     * @param serversRespond whether the backend server sends a response
     */
    void request(const CallId &callId, bool serversRespond)
    {
        m_serversRespond = serversRespond;
        const ProxyHeader header({ .source = PacketEngineFixture::caller(callId.first), .destination = SamplePools::serviceAddress() });
        auto instance = m_instances.begin();
        std::advance(instance, static_cast<std::ptrdiff_t>(m_random.below(m_instances.size())));
        instance->second->engine.handleFrontendDatagram(
            PacketEngineFixture::bytesOf(header, PacketEngineFixture::requestBytes(callId.second, "checkin")), Endpoint(0x7f000002, 1),
            m_clock.now());
    }

    void sendFlowExceptions(const std::string &instance, const FlowExceptionUpdate &update) override
    {
        m_instances.at(instance)->engine.router().flowExceptionsReceived(update, m_clock.now());
        for (auto &[id, other] : m_instances) {
            other->engine.router().flowExceptionsDelivered(instance, update.sequence);
        }
    }

    /** Returns how often backend servers ran a request. */
    std::size_t executionCount(const CallId &callId) const
    {
        const auto known = m_executionCounts.find(callId);
        return known == m_executionCounts.end() ? 0 : known->second;
    }

    /** Returns the last outcome that the caller received: "answered", "not_run" or "unknown"; empty if none. */
    const std::string &outcome(const CallId &callId)
    {
        return m_outcomes[callId];
    }

    /** Returns the number of flows whose requests went to more than one server. */
    std::size_t countSplitFlows() const
    {
        return static_cast<std::size_t>(
            std::count_if(m_servers.begin(), m_servers.end(), [](const auto &entry) { return entry.second.size() > 1; }));
    }

    /** Delivers the pending responses of the servers. */
    void deliverResponses()
    {
        for (const PendingResponse &response : std::exchange(m_pendingResponses, {})) {
            response.instance->engine.handleBackendDatagram(response.bytes, response.server, m_clock.now());
        }
    }

    void advance(std::chrono::milliseconds step)
    {
        m_clock.advance(step);
        for (auto &[id, instance] : m_instances) {
            instance->engine.tick(m_clock.now());
        }
    }

private:
    class Instance : public PacketOutput, public EventSink
    {
    public:
        Instance(EngineGroup &group, const std::string &id, const Clock &clock, RandomSource &random)
            : address(addressOf(id))
            , engine({ .instance = id, .failureDomain = "a", .maxPendingRequests = 4096, .maxStoredOutcomes = 4096, .isNewId = true },
                  20000, clock, random, *this, *this, &group)
            , m_group(group)
        {
        }

        static Endpoint addressOf(const std::string &id)
        {
            return Endpoint(0x7f000100U + static_cast<std::uint32_t>(id.back()), 6000);
        }

        void sendToServer(Endpoint server, const ProxyHeader &header, std::span<const std::uint8_t> payload) override
        {
            const auto envelope = RpcEnvelope::decode(payload);
            if (!envelope) {
                return; // a cancellation
            }
            const CallId callId { header.source().port(), envelope->id };
            ++m_group.m_executionCounts[callId];
            m_group.m_servers[callId.first].insert(server.address());
            if (m_group.m_serversRespond) {
                const ProxyHeader response({ .source = header.destination(), .destination = header.source() });
                m_group.m_pendingResponses.push_back(
                    { this, server, PacketEngineFixture::bytesOf(response, PacketEngineFixture::responseBytes(callId.second, "done")) });
            }
        }

        void sendToFabric(const ProxyHeader &header, std::span<const std::uint8_t> payload) override
        {
            const auto envelope = RpcEnvelope::decode(payload);
            REQUIRE(envelope.has_value());
            const std::string outcome = !envelope->failed ? "answered" : envelope->notRun ? "not_run" : "unknown";
            m_group.m_outcomes[{ header.destination().port(), envelope->id }] = outcome;
        }

        void sendToInstance(Endpoint instance, const ProxyHeader &header, std::span<const std::uint8_t> payload) override
        {
            const std::vector<std::uint8_t> bytes = PacketEngineFixture::bytesOf(header, { payload.begin(), payload.end() });
            for (auto &[id, other] : m_group.m_instances) {
                if (other->address == instance) {
                    other->engine.handleFrontendDatagram(bytes, address, m_group.m_clock.now());
                    return;
                }
            }
        }

        void record(EventSeverity, std::string_view, std::vector<EventField>) override
        {
        }

        Endpoint address;
        PacketEngine engine;

    private:
        EngineGroup &m_group;
    };

    struct PendingResponse {
        Instance *instance;
        Endpoint server;
        std::vector<std::uint8_t> bytes;
    };

    void publishView()
    {
        std::vector<Member> members;
        for (const auto &[id, state] : m_states) {
            const std::string domain(1, static_cast<char>('a' + (id.back() - '0') % 3));
            members.emplace_back(
                Member::Fields { .id = id, .failureDomain = domain, .dataAddress = Instance::addressOf(id), .state = state });
        }
        const auto view = std::make_shared<const MemberView>(std::move(members));
        for (auto &[id, instance] : m_instances) {
            instance->engine.memberViewChanged(view);
        }
    }

    ManualClock m_clock;
    SeededRandom m_random;
    bool m_serversRespond = true;
    std::map<std::string, MemberState> m_states;
    std::map<std::string, std::unique_ptr<Instance>> m_instances;
    std::vector<PendingResponse> m_pendingResponses;
    std::map<CallId, std::size_t> m_executionCounts;
    std::map<CallId, std::string> m_outcomes;
    std::map<std::uint16_t, std::set<std::uint32_t>> m_servers;
};

/** Sends a request from each of 300 callers. Every third caller sends it twice. */
void sendRequests(EngineGroup &group, std::uint32_t id, bool serversRespond = true)
{
    for (std::uint16_t port = 1; port <= 300; ++port) {
        group.request({ port, id }, serversRespond);
        group.deliverResponses();
        if (port % 3 == 0) {
            group.request({ port, id }, serversRespond);
            group.deliverResponses();
        }
    }
}

/** Counts the callers with an outcome, and checks that no request ran twice and that none with "not_run" ran at all. */
std::size_t countOutcomes(EngineGroup &group, std::uint32_t id, const std::string &outcome)
{
    std::size_t count = 0;
    for (std::uint16_t port = 1; port <= 300; ++port) {
        count += group.outcome({ port, id }) == outcome ? 1 : 0;
        CHECK(group.executionCount({ port, id }) <= 1);
        CHECK((group.outcome({ port, id }) != "not_run" || group.executionCount({ port, id }) == 0));
    }
    return count;
}

} // namespace

TEST_CASE("non-idempotent requests run at most once and stay on the server of their flow during a drain", "[data][enginegroup]")
{
    // Guards invariants 1, 4, 5 and 7 when packets of a caller arrive at any instance: flows stay on their server, "not_run" is true,
    // repeated requests don't run again, and planned stops interrupt no request.
    const std::uint64_t seed = GENERATE(range(1, 61));
    CAPTURE(seed);
    EngineGroup group(seed);
    auto servers = SamplePools::servers(12);
    group.applyGeneration(SamplePools::generation(1, servers));
    sendRequests(group, 1);
    CHECK(countOutcomes(group, 1, "answered") == 300);
    servers[4].state = ServerState::Drain;
    group.applyGeneration(SamplePools::generation(2, servers));
    sendRequests(group, 2);
    CHECK(countOutcomes(group, 2, "answered") == 300);
    CHECK(group.countSplitFlows() == 0);
    SECTION("an instance leaves gracefully")
    {
        group.setState("i3", MemberState::Leaving);
        sendRequests(group, 3);
        CHECK(countOutcomes(group, 3, "answered") == 300);
        group.advance(11s);
        group.setState("i3", MemberState::Dead);
        sendRequests(group, 4);
        CHECK(countOutcomes(group, 4, "answered") == 300);
        CHECK(group.countSplitFlows() == 0);
    }
    SECTION("an instance fails after it sent requests whose responses are lost")
    {
        sendRequests(group, 3, false);
        group.setState("i3", MemberState::Dead);
        sendRequests(group, 3, false); // callers repeat their requests
        CHECK(countOutcomes(group, 3, "not_run") == 0);
        sendRequests(group, 4);
        const std::size_t answered = countOutcomes(group, 4, "answered");
        CHECK(answered + countOutcomes(group, 4, "unknown") == 300);
        CHECK(answered > 200);
        group.advance(11s);
        sendRequests(group, 5);
        CHECK(countOutcomes(group, 5, "answered") == 300);
    }
}
