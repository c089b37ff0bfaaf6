#include "data/enginebench.h"

#include <catch2/catch.hpp>

#include <map>
#include <memory>
#include <set>

using namespace Samphirepitch;
using namespace std::chrono_literals;

namespace
{

using Call = std::pair<std::uint16_t, std::uint32_t>; // port of the caller and request id

/** Nine engines, their backend servers and callers in one process; every packet goes to a random engine. */
class EngineGroup : public FlowExceptionTransport
{
public:
    explicit EngineGroup(std::uint64_t seed)
        : m_random(seed)
    {
        for (int index = 0; index < 9; ++index) {
            const std::string id = "i" + std::to_string(index);
            m_states[id] = MemberState::Alive;
            m_engines[id] = std::make_unique<Instance>(*this, id, m_clock, m_random);
        }
        publishView();
        m_clock.advance(60s); // behind the quarantine of the start
    }

    void adopt(const ConfigGeneration &generation)
    {
        for (auto &[id, instance] : m_engines) {
            instance->engine.configurationChanged(generation);
        }
        for (auto &[id, instance] : m_engines) {
            instance->engine.router().activate(generation.head.generation);
        }
    }

    void setState(const std::string &id, MemberState state)
    {
        m_states[id] = state;
        if (state == MemberState::Dead) {
            m_engines.erase(id);
        }
        publishView();
    }

    /** Sends a request to a random engine. @param answers whether the server's answer arrives */
    void request(const Call &call, bool answers)
    {
        m_answers = answers;
        const ProxyHeader header({ .source = EngineBench::caller(call.first), .destination = SamplePools::serviceAddress() });
        auto instance = m_engines.begin();
        std::advance(instance, static_cast<std::ptrdiff_t>(m_random.below(m_engines.size())));
        instance->second->engine.frontDatagram(
            EngineBench::bytesOf(header, EngineBench::requestBytes(call.second, "checkin")), Endpoint(0x7f000002, 1), m_clock.now());
    }

    void sendFlowExceptions(const std::string &instance, const FlowExceptionUpdate &batch) override
    {
        m_engines.at(instance)->engine.router().flowExceptionsReceived(batch, m_clock.now());
        for (auto &[id, other] : m_engines) {
            other->engine.router().flowExceptionsDelivered(instance, batch.sequence);
        }
    }

    std::size_t runs(const Call &call) const
    {
        const auto known = m_runs.find(call);
        return known == m_runs.end() ? 0 : known->second;
    }

    const std::string &outcome(const Call &call)
    {
        return m_outcomes[call];
    }

    /** Number of flows whose requests went to more than one server. */
    std::size_t splitFlows() const
    {
        return static_cast<std::size_t>(
            std::count_if(m_servers.begin(), m_servers.end(), [](const auto &entry) { return entry.second.size() > 1; }));
    }

    /** Delivers the answers of the servers. */
    void deliverAnswers()
    {
        for (const Answer &answer : std::exchange(m_waiting, {})) {
            answer.instance->engine.backDatagram(answer.bytes, answer.server, m_clock.now());
        }
    }

    void advance(std::chrono::milliseconds step)
    {
        m_clock.advance(step);
        for (auto &[id, instance] : m_engines) {
            instance->engine.tick(m_clock.now());
        }
    }

private:
    class Instance : public PacketOutput, public EventSink
    {
    public:
        Instance(EngineGroup &group, const std::string &id, const Clock &clock, RandomSource &random)
            : address(addressOf(id))
            , engine({ .instance = id, .failureDomain = "a", .maxPending = 4096, .maxRemembered = 4096, .isNewId = true }, 20000, clock,
                  random, *this, *this, &group)
            , m_group(group)
        {
        }

        static Endpoint addressOf(const std::string &id)
        {
            return Endpoint(0x7f000100U + static_cast<std::uint32_t>(id.back()), 6000);
        }

        void toServer(Endpoint server, const ProxyHeader &header, std::span<const std::uint8_t> payload) override
        {
            const auto envelope = RpcEnvelope::decode(payload);
            if (!envelope) {
                return; // a cancellation
            }
            const Call call { header.source().port(), envelope->id };
            ++m_group.m_runs[call];
            m_group.m_servers[call.first].insert(server.address());
            if (m_group.m_answers) {
                const ProxyHeader answer({ .source = header.destination(), .destination = header.source() });
                m_group.m_waiting.push_back({ this, server, EngineBench::bytesOf(answer, EngineBench::answerBytes(call.second, "done")) });
            }
        }

        void toFabric(const ProxyHeader &header, std::span<const std::uint8_t> payload) override
        {
            const auto envelope = RpcEnvelope::decode(payload);
            REQUIRE(envelope.has_value());
            const std::string outcome = !envelope->failed ? "answered" : envelope->notRun ? "not_run" : "unknown";
            m_group.m_outcomes[{ header.destination().port(), envelope->id }] = outcome;
        }

        void toInstance(Endpoint instance, const ProxyHeader &header, std::span<const std::uint8_t> payload) override
        {
            const std::vector<std::uint8_t> bytes = EngineBench::bytesOf(header, { payload.begin(), payload.end() });
            for (auto &[id, other] : m_group.m_engines) {
                if (other->address == instance) {
                    other->engine.frontDatagram(bytes, address, m_group.m_clock.now());
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

    struct Answer {
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
        for (auto &[id, instance] : m_engines) {
            instance->engine.memberViewChanged(view);
        }
    }

    ManualClock m_clock;
    SeededRandom m_random;
    bool m_answers = true;
    std::map<std::string, MemberState> m_states;
    std::map<std::string, std::unique_ptr<Instance>> m_engines;
    std::vector<Answer> m_waiting;
    std::map<Call, std::size_t> m_runs;
    std::map<Call, std::string> m_outcomes;
    std::map<std::uint16_t, std::set<std::uint32_t>> m_servers;
};

/** Sends a request from each of 300 callers; every third is sent twice. */
void sendRequests(EngineGroup &group, std::uint32_t id, bool answers = true)
{
    for (std::uint16_t port = 1; port <= 300; ++port) {
        group.request({ port, id }, answers);
        group.deliverAnswers();
        if (port % 3 == 0) {
            group.request({ port, id }, answers);
            group.deliverAnswers();
        }
    }
}

std::size_t countOutcomes(EngineGroup &group, std::uint32_t id, const std::string &outcome)
{
    std::size_t count = 0;
    for (std::uint16_t port = 1; port <= 300; ++port) {
        count += group.outcome({ port, id }) == outcome ? 1 : 0;
        CHECK(group.runs({ port, id }) <= 1);
        CHECK((group.outcome({ port, id }) != "not_run" || group.runs({ port, id }) == 0));
    }
    return count;
}

} // namespace

TEST_CASE("non-idempotent requests run at most once and keep their flow's server through a drain", "[data][enginegroup]")
{
    // Guards invariants 1, 4, 5 and 7 with packets of a caller at any instance.
    const std::uint64_t seed = GENERATE(range(1, 61));
    CAPTURE(seed);
    EngineGroup group(seed);
    auto servers = SamplePools::servers(12);
    group.adopt(SamplePools::generation(1, servers));
    sendRequests(group, 1);
    CHECK(countOutcomes(group, 1, "answered") == 300);
    servers[4].state = ServerState::Drain;
    group.adopt(SamplePools::generation(2, servers));
    sendRequests(group, 2);
    CHECK(countOutcomes(group, 2, "answered") == 300);
    CHECK(group.splitFlows() == 0);
    SECTION("an instance leaves gracefully")
    {
        group.setState("i3", MemberState::Leaving);
        sendRequests(group, 3);
        CHECK(countOutcomes(group, 3, "answered") == 300);
        group.advance(11s);
        group.setState("i3", MemberState::Dead);
        sendRequests(group, 4);
        CHECK(countOutcomes(group, 4, "answered") == 300);
        CHECK(group.splitFlows() == 0);
    }
    SECTION("an instance dies after it sent requests whose answers are lost")
    {
        sendRequests(group, 3, false);
        group.setState("i3", MemberState::Dead);
        sendRequests(group, 3, false); // callers repeat
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
