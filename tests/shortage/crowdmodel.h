#pragma once

#include "core/clock.h"
#include "core/random.h"
#include "shortage/flowadmission.h"
#include "stream/flowplacement.h"
#include "stream/routerfixture.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <vector>

namespace Samphirepitch::Tests
{

/** Who decides which requests start. */
enum class CrowdRule {
    LeastFlows, /**< Every request is sent at once, new flows to the server with the fewest flows of the instance. */
    Admission, /**< The same, with a FlowAdmission in each instance. */
    IdealQueue, /**< One queue that knows all requests and all servers; the bound for any rule. */
};

/** A kind of request. */
struct CrowdKind {
    std::uint32_t priority = 0;
    bool longFlows = false; /**< whether its requests use flows that stay open; otherwise each opens a flow */
    std::chrono::milliseconds work { 15 }; /**< mean time at a server */
    std::chrono::milliseconds target { 250 };
    std::chrono::milliseconds timeLimit { 1000 };
    double credit = 1; /**< within the target */
    double lateCredit = 0.3; /**< later, within the time limit */
};

/** A part of a run with constant load. */
struct CrowdPhase {
    std::chrono::milliseconds length { 0 };
    std::vector<double> requestsPerSecond; /**< of each kind */
    std::size_t servers = 0; /**< that run; the others are gone */
    double slowdown = 1; /**< of the servers */
    std::size_t slowServers = 0; /**< how many of the running servers have the slowdown */
    bool instancesStart = false; /**< whether all instances have just started */
};

/** What the callers of one kind got in the counted phases. */
struct CrowdResult {
    double owed = 0; /**< credit if every request had been served in time */
    double earned = 0;
    std::size_t requests = 0;
    std::size_t refused = 0; /**< attempts that an instance refused or discarded */

    double share() const;
};

/** The outcome of a run. */
struct CrowdOutcome {
    std::vector<CrowdResult> kinds;
    std::size_t arrivals = 0; /**< requests that reached a server */
    std::size_t rejected = 0; /**< arrivals that found a full server */

    /** Returns the earned part of the credit of all kinds together. */
    double share() const;
};

/**
 * Plays clients, instances and servers with slots and short queues, without a network. Requests arrive at random times that depend on the
 * seed alone, so that runs with different rules have the same arrivals. A full server rejects a request, and its client opens another flow.
 */
class CrowdModel
{
public:
    static constexpr std::size_t slots = 2; /**< of each server */
    static constexpr std::size_t queueSize = 8; /**< of each server */
    static constexpr std::size_t maxAttempts = 3; /**< of a client, for each request */

    CrowdModel(CrowdRule rule, std::size_t instances, std::size_t servers, std::vector<CrowdKind> kinds, std::uint64_t seed);

    /** Plays phases one after the other. @param countFrom the index of the first phase whose requests are counted */
    CrowdOutcome play(const std::vector<CrowdPhase> &phases, std::size_t countFrom);

    /** Returns the events of the first instance. */
    const EventCollector &events() const;

private:
    struct Request {
        std::size_t kind = 0;
        std::size_t instance = 0;
        std::size_t server = 0;
        std::size_t attempt = 0;
        std::chrono::nanoseconds work {};
        TimePoint arrivedAt {};
        TimePoint sentAt {};
        Endpoint client;
        std::uint32_t delivery = 0; // counts transmissions, so that an outdated event is recognized
        bool counted = false;
        bool done = false;
        bool opens = false; // whether its current attempt opens a flow
        bool waits = false; // whether an instance holds it
    };

    struct Server {
        bool running = true;
        double slowdown = 1;
        std::size_t busy = 0;
        std::deque<std::pair<std::size_t, std::uint32_t>> queue; // request and its delivery
        std::uint64_t life = 0; // raised when the server goes, so that its running requests are lost
    };

    struct Instance {
        EventCollector events;
        std::unique_ptr<FlowAdmission> admission;
        std::vector<std::uint32_t> flows; // of each server
    };

    struct Event {
        TimePoint at {};
        std::uint64_t order = 0;
        std::function<void()> work;

        friend bool operator>(const Event &left, const Event &right)
        {
            return std::pair(left.at, left.order) > std::pair(right.at, right.order);
        }
    };

    void schedule(std::chrono::nanoseconds time, std::function<void()> work);
    void beginPhase(const CrowdPhase &phase, TimePoint end, bool counted);
    void arriveNext(std::size_t kind, double rate, TimePoint end, bool counted);
    void startInstances();
    void tickInstance(std::size_t instance, std::uint64_t start);
    void attempt(std::size_t request);
    void decide(std::size_t request);
    void send(std::size_t request);
    void arriveAtServer(std::size_t request, std::uint32_t delivery);
    void run(std::size_t server, std::size_t request);
    void finish(std::size_t server, std::size_t request, std::uint64_t life);
    void respond(std::size_t request);
    void failAttempt(std::size_t request);
    void resolve(std::size_t instance);
    void give(std::size_t request);
    void serveIdeal();
    ServerUse useOf(std::size_t server) const;
    std::size_t placeLeastFlows(Instance &instance);

    CrowdRule m_rule;
    std::vector<CrowdKind> m_kinds;
    std::vector<StreamRoute> m_routes;
    StreamConfiguration m_configuration;
    ManualClock m_clock;
    SeededRandom m_arrivals;
    SeededRandom m_choices;
    std::vector<Server> m_servers;
    std::vector<Instance> m_instances;
    std::deque<Request> m_requests;
    std::vector<std::size_t> m_idealQueue;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::uint64_t m_order = 0;
    std::uint64_t m_start = 0; // raised when all instances start
    std::uint32_t m_nextClient = 0;
    bool m_knowsSlow = false; // whether instances know which servers are slow
    CrowdOutcome m_outcome;
};

} // namespace Samphirepitch::Tests
