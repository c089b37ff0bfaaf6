#pragma once

#include "core/clock.h"
#include "core/random.h"
#include "stream/routerfixture.h"

#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <vector>

namespace Samphirepitch::Tests
{

/** The behavior of a simulated backend server. */
struct ModelServer {
    double slowdown = 1; /**< factor by which its requests take longer */
    double unansweredShare = 0; /**< share of the requests that get no response, from 0 to 1 */
};

/** The results of a run, as its clients see them. */
struct ModelOutcome {
    std::size_t requests = 0;
    std::size_t late = 0; /**< requests with a response after the latency target */
    std::size_t failed = 0; /**< requests without a response before the timeout of the client */

    double lateShare() const;
    double failedShare() const;
};

/**
 * Simulates clients with long flows to backend servers, each with two slots and a queue. A StreamRouter places the flows. Each flow sends
 * several requests with pauses in between. If a request gets no response in time, its client aborts the flow and opens the next one.
 */
class LoadModel
{
public:
    /**
     * @param selector the selector of the router; must outlive the model
     * @param servers the behavior of each server
     * @param users the number of clients
     * @param seed the seed of all random choices
     */
    LoadModel(const ServerSelector &selector, std::vector<ModelServer> servers, std::size_t users, std::uint64_t seed);

    /** Simulates @p time and returns the results of the requests that end in the last @p countedTime of it. */
    ModelOutcome run(std::chrono::milliseconds time, std::chrono::milliseconds countedTime);

private:
    struct Job {
        std::size_t user = 0;
        std::uint64_t request = 0;
        std::chrono::nanoseconds work {};
    };

    struct Server {
        ModelServer behavior;
        std::size_t busy = 0;
        std::deque<Job> queue;
    };

    struct User {
        Endpoint client;
        std::uint32_t token = 0;
        std::uint32_t sequence = 100;
        std::uint32_t acknowledgement = 1;
        std::uint64_t request = 0; // number of the last request
        TimePoint sentAt {};
        bool waiting = false;
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
    std::chrono::nanoseconds drawExponential(std::chrono::nanoseconds mean);
    void openFlow(std::size_t user);
    void sendRequest(std::size_t user);
    void receiveJob(std::uint32_t token, Job job);
    void startJob(std::uint32_t token, Job job);
    void finishJob(std::uint32_t token, const Job &job);
    void handleResponse(const Job &job);
    void abandonRequest(std::size_t user, std::uint64_t request);
    void scheduleNextRequest(std::size_t user);
    void count(bool answered, std::chrono::nanoseconds time);
    void tick();

    ManualClock m_clock;
    SeededRandom m_random;
    EventCollector m_events;
    TimeCollector m_times;
    StreamRouter m_router;
    std::map<std::uint32_t, Server> m_servers; // by token
    std::vector<User> m_users;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_queue;
    std::uint64_t m_order = 0;
    std::uint16_t m_nextPort = 1;
    TimePoint m_countFrom {};
    ModelOutcome m_outcome;
};

} // namespace Samphirepitch::Tests
