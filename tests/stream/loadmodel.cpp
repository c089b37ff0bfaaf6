#include "stream/loadmodel.h"

#include <algorithm>
#include <cmath>

namespace Samphirepitch::Tests
{

namespace
{

using std::chrono::milliseconds;

// Modelled on the deployments of the program's users: service time, pause between the requests of a long flow, latency target and timeout
// of a client.
constexpr milliseconds meanWork { 28 };
constexpr milliseconds meanPause { 800 };
constexpr milliseconds latencyTarget { 150 };
constexpr milliseconds clientTimeout { 1000 };
constexpr milliseconds roundTripTime { 6 }; // between client and server
constexpr double flowEndProbability = 0.2; // probability that a client opens a new flow after a request
constexpr std::size_t slots = 2;
constexpr milliseconds tickInterval { 25 };

} // namespace

double ModelOutcome::lateShare() const
{
    return static_cast<double>(late) / static_cast<double>(requests);
}

double ModelOutcome::failedShare() const
{
    return static_cast<double>(failed) / static_cast<double>(requests);
}

LoadModel::LoadModel(const ServerSelector &selector, std::vector<ModelServer> servers, std::size_t users, std::uint64_t seed)
    : m_random(seed)
    , m_router({ m_clock, m_random, m_events, selector, m_times }, "a", 10000)
    , m_users(users)
{
    std::vector<StreamServer> listed;
    for (std::size_t index = 0; index < servers.size(); ++index) {
        listed.push_back(RouterFixture::server(index + 1));
        m_servers[ServerDirectory::tokenOf(listed.back())].behavior = servers[index];
    }
    m_router.applyConfiguration(RouterFixture::configuration(4));
    m_router.replaceServers(listed, {}, { 0, 10 }, m_clock.now());
    for (std::size_t user = 0; user < users; ++user) {
        schedule(drawExponential(meanPause), [this, user] { openFlow(user); });
    }
    schedule(tickInterval, [this] { tick(); });
}

ModelOutcome LoadModel::run(milliseconds time, milliseconds countedTime)
{
    const TimePoint end = m_clock.now() + time;
    m_countFrom = end - countedTime;
    while (!m_queue.empty() && m_queue.top().at <= end) {
        const Event event = m_queue.top();
        m_queue.pop();
        m_clock.advance(event.at - m_clock.now());
        event.work();
    }
    return m_outcome;
}

void LoadModel::schedule(std::chrono::nanoseconds time, std::function<void()> work)
{
    m_queue.push({ m_clock.now() + time, m_order++, std::move(work) });
}

std::chrono::nanoseconds LoadModel::drawExponential(std::chrono::nanoseconds mean)
{
    return std::chrono::nanoseconds(std::llround(-std::log(1 - m_random.uniform()) * static_cast<double>(mean.count())));
}

void LoadModel::openFlow(std::size_t number)
{
    User &user = m_users[number];
    user.client = Endpoint(0x64400000 + static_cast<std::uint32_t>(number), ++m_nextPort);
    user.sequence = 100;
    user.acknowledgement = 1;
    user.token = m_router.route({ .client = user.client, .service = RouterFixture::service, .opens = true, .sequence = 100 }).token;
    schedule(roundTripTime, [this, number] { sendRequest(number); });
}

void LoadModel::sendRequest(std::size_t number)
{
    constexpr std::uint16_t size = 170; // bytes
    User &user = m_users[number];
    m_router.route({ .client = user.client,
        .service = RouterFixture::service,
        .token = user.token,
        .length = size,
        .sequence = user.sequence,
        .acknowledgement = user.acknowledgement });
    user.sequence += size;
    user.sentAt = m_clock.now();
    user.waiting = true;
    const Job job { number, ++user.request, drawExponential(meanWork) };
    schedule(roundTripTime / 2, [this, token = user.token, job] { receiveJob(token, job); });
    schedule(clientTimeout, [this, number, request = user.request] { abandonRequest(number, request); });
}

void LoadModel::receiveJob(std::uint32_t token, Job job)
{
    Server &server = m_servers.at(token);
    if (m_random.uniform() < server.behavior.unansweredShare) {
        return;
    }
    if (server.busy == slots) {
        server.queue.push_back(job);
        return;
    }
    ++server.busy;
    startJob(token, job);
}

void LoadModel::startJob(std::uint32_t token, Job job)
{
    const auto time = std::chrono::duration_cast<std::chrono::nanoseconds>(job.work * m_servers.at(token).behavior.slowdown);
    schedule(time, [this, token, job] { finishJob(token, job); });
}

void LoadModel::finishJob(std::uint32_t token, const Job &job)
{
    schedule(roundTripTime / 2, [this, job] { handleResponse(job); });
    Server &server = m_servers.at(token);
    if (server.queue.empty()) {
        --server.busy;
        return;
    }
    const Job next = server.queue.front();
    server.queue.pop_front();
    startJob(token, next);
}

void LoadModel::handleResponse(const Job &job)
{
    User &user = m_users[job.user];
    if (!user.waiting || user.request != job.request) {
        return; // the client has aborted the request
    }
    constexpr std::uint32_t size = 1000; // bytes
    user.waiting = false;
    user.acknowledgement += size;
    m_router.route({ .client = user.client,
        .service = RouterFixture::service,
        .token = user.token,
        .sequence = user.sequence,
        .acknowledgement = user.acknowledgement });
    count(true, m_clock.now() - user.sentAt);
    scheduleNextRequest(job.user);
}

void LoadModel::abandonRequest(std::size_t number, std::uint64_t request)
{
    User &user = m_users[number];
    if (!user.waiting || user.request != request) {
        return;
    }
    user.waiting = false;
    count(false, clientTimeout);
    m_router.route({ .client = user.client, .service = RouterFixture::service, .token = user.token, .resets = true });
    openFlow(number);
}

void LoadModel::scheduleNextRequest(std::size_t number)
{
    const bool ends = m_random.uniform() < flowEndProbability;
    if (ends) {
        const User &user = m_users[number];
        m_router.route({ .client = user.client,
            .service = RouterFixture::service,
            .token = user.token,
            .finishes = true,
            .sequence = user.sequence,
            .acknowledgement = user.acknowledgement });
    }
    schedule(drawExponential(meanPause), [this, number, ends] {
        if (ends) {
            openFlow(number);
        } else {
            sendRequest(number);
        }
    });
}

void LoadModel::count(bool answered, std::chrono::nanoseconds time)
{
    if (m_clock.now() < m_countFrom) {
        return;
    }
    ++m_outcome.requests;
    m_outcome.late += answered && time > latencyTarget ? 1 : 0;
    m_outcome.failed += answered ? 0 : 1;
}

void LoadModel::tick()
{
    m_router.confirmServers(m_clock.now());
    m_router.tick();
    m_router.takeDueProbes();
    schedule(tickInterval, [this] { tick(); });
}

} // namespace Samphirepitch::Tests
