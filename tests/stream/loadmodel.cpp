#include "stream/loadmodel.h"

#include <algorithm>
#include <cmath>

namespace Samphirepitch::Tests
{

namespace
{

using std::chrono::milliseconds;

// The figures of the sites: work, pauses between the requests of a long flow, aim and patience of a client.
constexpr milliseconds meanWork { 28 };
constexpr milliseconds meanPause { 800 };
constexpr milliseconds aim { 150 };
constexpr milliseconds patience { 1000 };
constexpr milliseconds way { 6 }; // client to server and back
constexpr double flowEnds = 0.2; // part of the requests after which a client opens a new flow
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
        m_servers[ServerDirectory::tokenOf(listed.back())].kind = servers[index];
    }
    m_router.adopt(RouterFixture::configuration(4));
    m_router.serversListed(listed, {}, 10, m_clock.now());
    for (std::size_t user = 0; user < users; ++user) {
        after(drawn(meanPause), [this, user] { openFlow(user); });
    }
    after(tickInterval, [this] { tick(); });
}

ModelOutcome LoadModel::run(milliseconds time, milliseconds counted)
{
    const TimePoint end = m_clock.now() + time;
    m_countFrom = end - counted;
    while (!m_queue.empty() && m_queue.top().at <= end) {
        const Event event = m_queue.top();
        m_queue.pop();
        m_clock.advance(event.at - m_clock.now());
        event.work();
    }
    return m_outcome;
}

void LoadModel::after(std::chrono::nanoseconds time, std::function<void()> work)
{
    m_queue.push({ m_clock.now() + time, m_order++, std::move(work) });
}

std::chrono::nanoseconds LoadModel::drawn(std::chrono::nanoseconds mean)
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
    after(way, [this, number] { sendRequest(number); });
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
    const Job job { number, ++user.request, drawn(meanWork) };
    after(way / 2, [this, token = user.token, job] { arrive(token, job); });
    after(patience, [this, number, request = user.request] { giveUp(number, request); });
}

void LoadModel::arrive(std::uint32_t token, Job job)
{
    Server &server = m_servers.at(token);
    if (m_random.uniform() < server.kind.unanswered) {
        return;
    }
    if (server.busy == slots) {
        server.queue.push_back(job);
        return;
    }
    ++server.busy;
    work(token, job);
}

void LoadModel::work(std::uint32_t token, Job job)
{
    const auto time = std::chrono::duration_cast<std::chrono::nanoseconds>(job.work * m_servers.at(token).kind.slowness);
    after(time, [this, token, job] { finish(token, job); });
}

void LoadModel::finish(std::uint32_t token, const Job &job)
{
    after(way / 2, [this, job] { answer(job); });
    Server &server = m_servers.at(token);
    if (server.queue.empty()) {
        --server.busy;
        return;
    }
    const Job next = server.queue.front();
    server.queue.pop_front();
    work(token, next);
}

void LoadModel::answer(const Job &job)
{
    User &user = m_users[job.user];
    if (!user.waiting || user.request != job.request) {
        return; // the client has given up
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
    pauseThenGoOn(job.user);
}

void LoadModel::giveUp(std::size_t number, std::uint64_t request)
{
    User &user = m_users[number];
    if (!user.waiting || user.request != request) {
        return;
    }
    user.waiting = false;
    count(false, patience);
    m_router.route({ .client = user.client, .service = RouterFixture::service, .token = user.token, .resets = true });
    openFlow(number);
}

void LoadModel::pauseThenGoOn(std::size_t number)
{
    const bool ends = m_random.uniform() < flowEnds;
    if (ends) {
        const User &user = m_users[number];
        m_router.route({ .client = user.client,
            .service = RouterFixture::service,
            .token = user.token,
            .finishes = true,
            .sequence = user.sequence,
            .acknowledgement = user.acknowledgement });
    }
    after(drawn(meanPause), [this, number, ends] {
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
    m_outcome.late += answered && time > aim ? 1 : 0;
    m_outcome.failed += answered ? 0 : 1;
}

void LoadModel::tick()
{
    m_router.serversConfirmed(m_clock.now());
    m_router.tick();
    m_router.takeDueProbes();
    after(tickInterval, [this] { tick(); });
}

} // namespace Samphirepitch::Tests
