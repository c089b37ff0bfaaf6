#include "stream/peerexchange.h"

#include "stream/streamrouter.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/redirect_error.hpp>
#include <asio/steady_timer.hpp>
#include <asio/use_awaitable.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace Samphirepitch
{

namespace
{

using asio::ip::udp;
using std::chrono::milliseconds;

// How often the exchange looks for news of its own; a proven end of a server is worth little after a client's first repetition.
constexpr milliseconds tickInterval { 50 };

// A record reaches 78 instances in about 4 rounds.
constexpr milliseconds gossipInterval { 500 };
constexpr std::size_t gossipTargets = 3;

// The proof that a server ended goes to this many instances at once; gossip of tokens would be late.
constexpr std::size_t endedTargets = 100;

// A reader without changes confirms its view this often.
constexpr milliseconds confirmInterval { 400 };

// The next reader gets this long to read and to pass it on.
constexpr milliseconds distrustInterval { 400 };

// A starting instance gives its seeds this long before it reads the store itself: some round trips between domains.
constexpr milliseconds joinTime { 40 };

// How many instances of those that start together read the store at once, and how long each further one waits for their news.
constexpr std::size_t firstReaders = 8;
constexpr milliseconds startStep { 10 };
constexpr milliseconds longestStart { 2000 };

constexpr std::size_t maxDatagram = 2048; // bytes; more than any news

} // namespace

PeerExchange::PeerExchange(asio::any_io_executor executor, Parts parts, Place place, PeerRecord self)
    : m_executor(std::move(executor))
    , m_clock(parts.clock)
    , m_random(parts.random)
    , m_events(parts.events)
    , m_router(parts.router)
    , m_place(std::move(place))
    , m_directory(std::move(self))
    , m_socket(m_executor)
    , m_states(m_executor, m_clock, m_place.deployment, *this)
{
    std::erase(m_place.seeds, m_directory.self().address);
    std::erase(m_place.seeds, m_place.local);
}

Result<std::unique_ptr<PeerExchange>> PeerExchange::create(asio::any_io_executor executor, Parts parts, Place place, PeerRecord self)
{
    std::unique_ptr<PeerExchange> exchange(new PeerExchange(std::move(executor), parts, std::move(place), std::move(self)));
    if (auto bound = exchange->bind(); !bound) {
        return tl::unexpected(bound.error());
    }
    return exchange;
}

Result<void> PeerExchange::bind()
{
    if (auto bound = m_states.bind(m_place.local); !bound) {
        return bound;
    }
    std::error_code error;
    m_socket.open(udp::v4(), error);
    if (!error) {
        m_socket.bind({ asio::ip::address_v4(m_place.local.address()), m_place.local.port() }, error);
    }
    if (!error) {
        m_socket.non_blocking(true, error);
    }
    if (error) {
        return failure(ErrorKind::InputOutput, m_place.local.toString(), error.message());
    }
    m_joinDeadline = m_clock.now() + joinTime;
    return {};
}

asio::awaitable<Result<void>> PeerExchange::gossip()
{
    m_joins = m_place.seeds.size();
    for (const Endpoint seed : m_place.seeds) {
        startPull(seed);
    }
    asio::steady_timer timer(m_executor);
    while (true) {
        sendEnded();
        watchReader();
        if (m_clock.now() >= m_nextBeat) {
            m_nextBeat = m_clock.now() + gossipInterval;
            sendGossip();
        }
        timer.expires_after(tickInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

asio::awaitable<Result<void>> PeerExchange::receiveNews()
{
    std::array<char, maxDatagram> buffer {};
    while (true) {
        udp::endpoint from;
        std::error_code error;
        const std::size_t size
            = co_await m_socket.async_receive_from(asio::buffer(buffer), from, asio::redirect_error(asio::use_awaitable, error));
        // A peer that has just ended causes an error on this socket that concerns only what was sent to it.
        if (error == asio::error::connection_refused) {
            continue;
        }
        if (error) {
            co_return failure(ErrorKind::InputOutput, "peer", error.message());
        }
        ++m_newsReceived;
        const Result<PeerNews> news = m_states.readNews({ buffer.data(), size });
        if (news) {
            take(*news);
        } else {
            refuse("peer_news_refused", from.address().to_string(), news.error());
        }
    }
}

void PeerExchange::refuse(std::string_view event, const std::string &peer, const Error &error)
{
    ++m_newsRefused;
    m_events.record(EventSeverity::Warning, event, { { "peer", peer }, { "error", error.describe() } });
}

void PeerExchange::take(const PeerNews &news)
{
    const ViewMark before = m_router.viewMark();
    if (merge(news.sender)) {
        // A newcomer learns at once of others than the seeds that it was given.
        PeerNews welcome = makeNews();
        welcome.records = m_directory.sample(PeerNewsCodec::maxRecords, m_random, m_clock.now());
        send(welcome, news.sender.address);
    }
    for (const PeerRecord &record : news.records) {
        merge(record);
    }
    for (const EndedServer &ended : news.ended) {
        m_router.handleEndedServer(ended);
    }
    if (!takeView(news)) {
        startPull(news.sender.address);
        return;
    }
    const ViewMark after = m_router.viewMark();
    if (!news.pushed) {
        return;
    }
    // Passing on only what is new here ends any circle among instances that see different trees.
    if (after.serversRevision > before.serversRevision) {
        push(news.changesFrom, news.changes);
    } else if (after.serversConfirmed > before.serversConfirmed || after.configurationConfirmed > before.configurationConfirmed) {
        confirmDownwards();
    }
}

bool PeerExchange::takeView(const PeerNews &news)
{
    const ViewMark mine = m_router.viewMark();
    const ViewMark &theirs = news.view;
    bool complete = true;
    if (theirs.serversRevision <= mine.serversRevision) {
        if (theirs.serversRevision > 0) {
            m_router.confirmServers(theirs.serversConfirmed);
        }
    } else if (mine.serversRevision > 0 && news.changesFrom > 0 && news.changesFrom <= mine.serversRevision) {
        m_router.applyServerUpdates({ news.changes, theirs.serversRevision }, theirs.serversConfirmed);
    } else {
        complete = false;
    }
    if (theirs.configurationRevision > mine.configurationRevision) {
        complete = false;
    } else if (theirs.configurationRevision == mine.configurationRevision && mine.configurationRevision > 0) {
        m_router.confirmConfiguration(theirs.configurationChecked, theirs.configurationConfirmed);
    }
    return complete;
}

bool PeerExchange::merge(const PeerRecord &record)
{
    const bool isNew = m_directory.merge(record, m_clock.now());
    if (isNew) {
        m_events.record(EventSeverity::Info, "peer_heard",
            { { "peer", record.id }, { "domain", record.failureDomain }, { "address", record.address.toString() } });
    }
    return isNew;
}

PeerNews PeerExchange::makeNews() const
{
    return { .deployment = m_place.deployment, .sender = m_directory.self(), .view = m_router.viewMark() };
}

void PeerExchange::send(const PeerNews &news, Endpoint to)
{
    const std::string bytes = PeerNewsCodec::encode(news, m_clock.now());
    std::error_code ignored; // lost news are repaired by the next gossip
    m_socket.send_to(asio::buffer(bytes), { asio::ip::address_v4(to.address()), to.port() }, 0, ignored);
    ++m_newsSent;
}

void PeerExchange::push(std::uint64_t from, const std::vector<ServerUpdate> &changes)
{
    m_lastPush = m_clock.now();
    PeerNews news = makeNews();
    news.pushed = true;
    if (changes.size() <= PeerNewsCodec::maxChanges) {
        news.changesFrom = from;
        news.changes = changes;
    }
    for (const Endpoint child : m_directory.children(m_clock.now())) {
        send(news, child);
    }
}

void PeerExchange::confirmDownwards()
{
    if (m_clock.now() >= m_lastPush + confirmInterval) {
        push(m_router.viewMark().serversRevision, {});
    }
}

void PeerExchange::sendGossip()
{
    const TimePoint now = m_clock.now();
    m_directory.beat();
    m_directory.expire(now);
    PeerNews news = makeNews();
    news.records = m_directory.sample(PeerNewsCodec::maxRecords, m_random, now);
    std::vector<PeerRecord> targets = m_directory.sample(gossipTargets, m_random, now);
    if (const auto lapsed = m_directory.sampleLapsed(m_random, now)) {
        targets.push_back(*lapsed);
    }
    for (const PeerRecord &target : targets) {
        send(news, target.address);
    }
    if (targets.empty()) {
        for (const Endpoint seed : m_place.seeds) {
            send(news, seed);
        }
    }
    if (followsStore()) {
        confirmDownwards();
    }
}

void PeerExchange::sendEnded()
{
    const std::vector<EndedServer> ended = m_router.takeEndedServers();
    if (ended.empty()) {
        return;
    }
    const std::vector<PeerRecord> peers = m_directory.sample(endedTargets, m_random, m_clock.now());
    for (auto first = ended.begin(); first != ended.end();) {
        const auto last = first + std::min<std::ptrdiff_t>(PeerNewsCodec::maxChanges, ended.end() - first);
        PeerNews news = makeNews();
        news.ended.assign(first, last);
        for (const PeerRecord &peer : peers) {
            send(news, peer.address);
        }
        first = last;
    }
}

void PeerExchange::watchReader()
{
    const TimePoint now = m_clock.now();
    const ViewMark view = m_router.viewMark();
    const std::string reader = m_directory.readerId(now);
    const bool isReader = reader == m_directory.self().id;
    if (isReader != std::exchange(m_wasReader, isReader)) {
        m_events.record(EventSeverity::Info, isReader ? "reading_begun" : "reading_ended",
            { { "reader", reader }, { "peers", std::to_string(m_directory.aliveCount(now) - 1) } });
    }
    const TimePoint confirmed = std::min(view.serversConfirmed, view.configurationConfirmed);
    if (!isReader && confirmed != TimePoint() && now > confirmed + distrustAfter && now >= m_nextDistrust) {
        m_nextDistrust = now + distrustInterval;
        m_events.record(EventSeverity::Warning, "reader_passed_over",
            { { "reader", reader }, { "age_ms", std::to_string(std::chrono::duration_cast<milliseconds>(now - confirmed).count()) } });
        m_directory.distrust(reader, now);
    }
}

bool PeerExchange::followsStore() const
{
    return !(m_joins > 0 && m_clock.now() < m_joinDeadline) && m_directory.isReader(m_clock.now());
}

bool PeerExchange::mustRead(TimePoint confirmed) const
{
    const TimePoint now = m_clock.now();
    if (m_joins > 0 && now < m_joinDeadline) {
        return false;
    }
    if (confirmed != TimePoint()) {
        return now > confirmed + readAfter;
    }
    // Nothing is known yet. When many instances start together, those that come first in the order read, and the others are told.
    const std::size_t rank = m_directory.rank(now);
    return rank < firstReaders || now > m_joinDeadline + std::min<milliseconds>(startStep * static_cast<std::int64_t>(rank), longestStart);
}

std::size_t PeerExchange::readers() const
{
    return m_directory.aliveCount(m_clock.now());
}

void PeerExchange::serversRead(std::uint64_t from, const ServerUpdates &updates)
{
    if (updates.updates.empty()) {
        confirmDownwards();
    } else {
        push(from, updates.updates);
    }
}

void PeerExchange::configurationRead()
{
    // The configuration itself is pulled by those who lack it.
    const ViewMark view = m_router.viewMark();
    if (view.configurationRevision == view.configurationChecked) {
        push(view.serversRevision, {});
    } else {
        confirmDownwards();
    }
}

void PeerExchange::storeReachable(bool reachable)
{
    if (m_directory.setStoreReachable(reachable)) {
        m_directory.beat();
        push(m_router.viewMark().serversRevision, {});
    }
}

void PeerExchange::startPull(Endpoint peer)
{
    if (m_pulls.insert(peer).second) {
        asio::co_spawn(m_executor, pull(peer), asio::detached);
    }
}

asio::awaitable<void> PeerExchange::pull(Endpoint peer)
{
    ++m_pullCount;
    const ViewMark before = m_router.viewMark();
    Result<PeerState> state = co_await m_states.fetch(peer, makeNews());
    m_pulls.erase(peer);
    m_joins -= m_joins > 0 ? 1 : 0;
    if (!state) {
        ++m_failedPulls;
        m_events.record(EventSeverity::Warning, "peer_pull_failed", { { "peer", peer.toString() }, { "error", state.error().describe() } });
        co_return;
    }
    merge(state->sender);
    for (const PeerRecord &record : state->records) {
        merge(record);
    }
    const ViewMark mine = m_router.viewMark();
    if (state->view.serversRevision > mine.serversRevision) {
        takeServers(*state, mine.serversRevision);
    }
    if (state->view.configurationRevision > mine.configurationRevision) {
        m_router.applyConfiguration(std::move(state->configuration));
        m_router.confirmConfiguration(state->view.configurationChecked, state->view.configurationConfirmed);
    }
    const ViewMark after = m_router.viewMark();
    if (after.serversRevision > before.serversRevision || after.configurationRevision > before.configurationRevision) {
        push(after.serversRevision, {});
    }
}

void PeerExchange::takeServers(const PeerState &state, std::uint64_t known)
{
    if (state.changesFrom > 0) {
        if (state.changesFrom <= known) {
            m_router.applyServerUpdates({ state.changes, state.view.serversRevision }, state.view.serversConfirmed);
        }
        return;
    }
    std::vector<StreamServer> servers;
    for (const ServerUpdate &change : state.changes) {
        if (change.listed) {
            servers.push_back(*change.listed);
        }
    }
    m_router.replaceServers(servers, {}, state.view.serversRevision, state.view.serversConfirmed);
}

asio::awaitable<Result<void>> PeerExchange::serveStates()
{
    return m_states.serve();
}

PeerState PeerExchange::stateFor(const PeerNews &request)
{
    merge(request.sender);
    return makeState(request.view);
}

PeerState PeerExchange::makeState(const ViewMark &known) const
{
    PeerState state { .deployment = m_place.deployment, .sender = m_directory.self(), .view = m_router.viewMark() };
    if (known.serversRevision == 0) {
        state.records = m_directory.order(m_clock.now()); // it has just started
    }
    if (known.serversRevision < state.view.serversRevision) {
        if (auto changes = m_router.directory().changesAfter(known.serversRevision)) {
            state.changesFrom = known.serversRevision;
            state.changes = *std::move(changes);
        } else {
            state.changes = m_router.directory().completeList();
        }
    }
    if (known.configurationRevision < state.view.configurationRevision) {
        state.configuration = m_router.configuration();
    }
    return state;
}

const PeerDirectory &PeerExchange::directory() const
{
    return m_directory;
}

void PeerExchange::writeMetrics(MetricWriter &writer) const
{
    const TimePoint now = m_clock.now();
    writer.gauge("samphirepitch_peers", "Other instances that are heard of.", {}, static_cast<double>(m_directory.aliveCount(now) - 1));
    writer.gauge("samphirepitch_store_reader", "Whether this instance reads the store for all.", {}, followsStore() ? 1 : 0);
    writer.counter("samphirepitch_peer_news_sent_total", "Datagrams sent to other instances.", {}, m_newsSent);
    writer.counter("samphirepitch_peer_news_received_total", "Datagrams from other instances.", {}, m_newsReceived);
    writer.counter("samphirepitch_peer_news_refused_total", "Messages of other instances that could not be read.", {}, m_newsRefused);
    writer.counter("samphirepitch_peer_pulls_total", "States asked for.", {}, m_pullCount);
    writer.counter("samphirepitch_peer_failed_pulls_total", "States that did not arrive.", {}, m_failedPulls);
}

} // namespace Samphirepitch
