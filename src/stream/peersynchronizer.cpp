#include "stream/peersynchronizer.h"

#include "loadreport/loadexchange.h"
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

// Interval of checks for ended servers to report and for a dead reader. Other instances need the report of an ended server before clients
// retransmit for the first time.
constexpr milliseconds tickInterval { 50 };

// With this interval and number of targets, a record reaches 78 instances in about 4 rounds.
constexpr milliseconds gossipInterval { 500 };
constexpr std::size_t gossipTargets = 3;

// Number of instances that are informed of an ended server directly, because gossip over several rounds would be too late.
constexpr std::size_t endedServerTargets = 100;

// Interval at which a reader without changes pushes that its view is still complete.
constexpr milliseconds confirmInterval { 400 };

// Time that the next reader in the ranking has to read the store and to push the result before it is considered dead as well.
constexpr milliseconds readerTakeoverTime { 400 };

// Time that a starting instance waits for the state of its seeds before it may read the store: a few round trips between failure domains.
constexpr milliseconds seedPullTime { 40 };

// When many instances start together, the first ones in the ranking read the store at once. Each further one waits longer, in proportion
// to its rank, for what they push.
constexpr std::size_t initialReaders = 8;
constexpr milliseconds startupDelayPerRank { 10 };
constexpr milliseconds maxStartupDelay { 2000 };

// Time for which a running pull keeps others from starting. A peer that sends slowly would otherwise delay a configuration.
constexpr milliseconds exclusivePullTime { 600 };

constexpr std::size_t maxDatagramSize = 2048; // bytes; larger than any message

} // namespace

PeerSynchronizer::PeerSynchronizer(asio::any_io_executor executor, Dependencies dependencies, NetworkOptions network, PeerRecord self)
    : m_executor(std::move(executor))
    , m_clock(dependencies.clock)
    , m_random(dependencies.random)
    , m_events(dependencies.events)
    , m_router(dependencies.router)
    , m_loads(dependencies.loads)
    , m_network(std::move(network))
    , m_directory(std::move(self))
    , m_views(m_router)
    , m_roster(m_directory, m_clock.now(), !m_network.seeds.empty())
    , m_socket(m_executor)
    , m_stateTransfer(m_executor, m_clock, m_network.deployment, *this)
{
    std::erase(m_network.seeds, m_directory.self().address);
    std::erase(m_network.seeds, m_network.bindAddress);
}

Result<std::unique_ptr<PeerSynchronizer>> PeerSynchronizer::create(
    asio::any_io_executor executor, Dependencies dependencies, NetworkOptions network, PeerRecord self)
{
    std::unique_ptr<PeerSynchronizer> synchronizer(
        new PeerSynchronizer(std::move(executor), dependencies, std::move(network), std::move(self)));
    if (auto bound = synchronizer->bind(); !bound) {
        return tl::unexpected(bound.error());
    }
    return synchronizer;
}

Result<void> PeerSynchronizer::bind()
{
    if (auto bound = m_stateTransfer.bind(m_network.bindAddress); !bound) {
        return bound;
    }
    std::error_code error;
    m_socket.open(udp::v4(), error);
    if (!error) {
        m_socket.bind({ asio::ip::address_v4(m_network.bindAddress.address()), m_network.bindAddress.port() }, error);
    }
    if (!error) {
        m_socket.non_blocking(true, error);
    }
    if (error) {
        return failure(ErrorKind::InputOutput, m_network.bindAddress.toString(), error.message());
    }
    m_seedPullDeadline = m_clock.now() + seedPullTime;
    return {};
}

asio::awaitable<Result<void>> PeerSynchronizer::runGossip()
{
    m_pendingSeedPulls = m_network.seeds.size();
    for (const Endpoint seed : m_network.seeds) {
        startPull(seed);
    }
    asio::steady_timer timer(m_executor);
    while (true) {
        sendEndedServers();
        checkReader();
        if (m_clock.now() >= m_nextGossip) {
            m_nextGossip = m_clock.now() + gossipInterval;
            sendGossip();
        }
        timer.expires_after(tickInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

asio::awaitable<Result<void>> PeerSynchronizer::receiveMessages()
{
    std::array<char, maxDatagramSize> buffer {};
    TimePoint emptyAt = m_clock.now(); // when no message was waiting
    while (true) {
        udp::endpoint from;
        std::error_code error;
        const std::size_t size
            = co_await m_socket.async_receive_from(asio::buffer(buffer), from, asio::redirect_error(asio::use_awaitable, error));
        // An earlier datagram to a peer that no longer runs causes this error; the socket stays usable.
        if (error == asio::error::connection_refused) {
            continue;
        }
        if (error) {
            co_return failure(ErrorKind::InputOutput, "peer", error.message());
        }
        ++m_counters.messagesReceived;
        const Result<GossipMessage> message = m_stateTransfer.readMessage({ buffer.data(), size }, m_router.earliestArrival(emptyAt));
        if (message) {
            apply(*message);
        } else {
            reportFailure("peer_news_refused", from.address().to_string(), message.error());
        }
        if (m_socket.available(error) == 0) {
            emptyAt = m_clock.now();
        }
    }
}

void PeerSynchronizer::reportFailure(std::string_view event, const std::string &peer, const Error &error)
{
    ++m_counters.messagesRefused;
    m_events.record(EventSeverity::Warning, event, { { "peer", peer }, { "error", error.describe() } });
}

void PeerSynchronizer::apply(const GossipMessage &message)
{
    const ViewStatus before = m_router.viewStatus();
    if (merge(message.sender)) {
        // A new instance may know only its seeds, so it is sent further instances at once.
        send(makeGossip(), message.sender.address);
    }
    if (m_loads != nullptr) {
        m_loads->receive(message.sender.id, message.load);
    }
    for (const PeerRecord &record : message.records) {
        merge(record);
    }
    for (const EndedServer &ended : message.ended) {
        m_router.handleEndedServer(ended);
    }
    const std::uint64_t evacuationChanges = m_router.evacuations().changeCount();
    if (!m_views.apply(message)) {
        startPull(message.sender.address);
    }
    const ViewStatus after = m_router.viewStatus();
    if (!message.pushed) {
        return;
    }
    // Messages without new content are not forwarded, which ends loops between instances that compute different trees.
    if (after.serversPosition > before.serversPosition) {
        push(message.baseRevision, message.changes);
    } else if (m_router.evacuations().changeCount() != evacuationChanges) {
        push(after.serversPosition.revision(), {});
    } else if (after.serversConfirmedAt > before.serversConfirmedAt || after.configurationConfirmedAt > before.configurationConfirmedAt
        || after.evacuationsConfirmedAt > before.evacuationsConfirmedAt) {
        pushConfirmation();
    }
}

bool PeerSynchronizer::merge(const PeerRecord &record)
{
    const bool isNew = m_directory.merge(record, m_clock.now());
    if (isNew) {
        m_events.record(EventSeverity::Info, "peer_heard",
            { { "peer", record.id }, { "domain", record.failureDomain }, { "address", record.address.toString() } });
    }
    return isNew;
}

GossipMessage PeerSynchronizer::makeMessage() const
{
    GossipMessage message { .deployment = m_network.deployment, .sender = m_directory.self() };
    m_views.describe(message);
    return message;
}

GossipMessage PeerSynchronizer::makeGossip()
{
    GossipMessage message = makeMessage();
    message.records = m_directory.sample(GossipCodec::maxRecords, m_random, m_clock.now());
    message.load = m_loads == nullptr ? PeerLoadReport() : m_loads->makeReport();
    return message;
}

void PeerSynchronizer::send(const GossipMessage &message, Endpoint to)
{
    const std::string bytes = GossipCodec::encode(message, m_clock.now());
    std::error_code ignored; // a lost message is repaired by the next gossip
    m_socket.send_to(asio::buffer(bytes), { asio::ip::address_v4(to.address()), to.port() }, 0, ignored);
    ++m_counters.messagesSent;
}

void PeerSynchronizer::push(std::uint64_t from, const std::vector<ServerUpdate> &changes)
{
    m_lastPush = m_clock.now();
    GossipMessage message = makeMessage();
    message.pushed = true;
    if (changes.size() <= GossipCodec::maxChanges) {
        message.baseRevision = from;
        message.changes = changes;
        if (GossipCodec::encode(message, m_lastPush).size() > GossipCodec::maxMessageSize) {
            message.baseRevision = 0;
            message.changes.clear(); // long names; the receivers pull the changes as a state
        }
    }
    for (const Endpoint child : m_directory.children(m_clock.now())) {
        send(message, child);
    }
}

void PeerSynchronizer::pushConfirmation()
{
    if (m_clock.now() >= m_lastPush + confirmInterval) {
        push(m_router.viewStatus().serversPosition.revision(), {});
    }
}

void PeerSynchronizer::sendGossip()
{
    const TimePoint now = m_clock.now();
    m_directory.incrementHeartbeat();
    m_directory.expire(now);
    const GossipMessage message = makeGossip();
    std::vector<PeerRecord> targets = m_directory.sample(gossipTargets, m_random, now);
    if (const auto dead = m_directory.sampleDead(m_random, now)) {
        targets.push_back(*dead);
    }
    for (const PeerRecord &target : targets) {
        send(message, target.address);
    }
    if (targets.empty()) {
        for (const Endpoint seed : m_network.seeds) {
            send(message, seed);
        }
    }
    if (watchesStore()) {
        pushConfirmation();
    }
}

void PeerSynchronizer::sendEndedServers()
{
    const std::vector<EndedServer> ended = m_router.takeEndedServers();
    if (ended.empty()) {
        return;
    }
    const std::vector<PeerRecord> peers = m_directory.sample(endedServerTargets, m_random, m_clock.now());
    for (auto first = ended.begin(); first != ended.end();) {
        const auto last = first + std::min<std::ptrdiff_t>(GossipCodec::maxChanges, ended.end() - first);
        GossipMessage message = makeMessage();
        message.ended.assign(first, last);
        for (const PeerRecord &peer : peers) {
            send(message, peer.address);
        }
        first = last;
    }
}

void PeerSynchronizer::checkReader()
{
    const TimePoint now = m_clock.now();
    const ViewStatus view = m_router.viewStatus();
    const std::string reader = m_directory.readerId(now);
    const bool isReader = reader == m_directory.self().id;
    if (isReader != std::exchange(m_wasReader, isReader)) {
        m_events.record(EventSeverity::Info, isReader ? "reading_begun" : "reading_ended",
            { { "reader", reader }, { "peers", std::to_string(m_directory.aliveCount(now) - 1) } });
    }
    // While this instance fetches a state, messages of others still show that somebody reads the store.
    const TimePoint lastConfirmed = std::max(m_views.peerConfirmedAt(), std::min(view.serversConfirmedAt, view.configurationConfirmedAt));
    if (!isReader && lastConfirmed != TimePoint() && now > lastConfirmed + readerTimeout && now >= m_nextReaderCheck) {
        m_nextReaderCheck = now + readerTakeoverTime;
        m_events.record(EventSeverity::Warning, "reader_passed_over",
            { { "reader", reader }, { "age_ms", std::to_string(std::chrono::duration_cast<milliseconds>(now - lastConfirmed).count()) } });
        m_directory.markDead(reader, now);
    }
}

bool PeerSynchronizer::watchesStore() const
{
    return !(m_pendingSeedPulls > 0 && m_clock.now() < m_seedPullDeadline) && m_directory.isReader(m_clock.now());
}

bool PeerSynchronizer::mustRead(TimePoint lastConfirmed) const
{
    return mustReadAfter(lastConfirmed, directReadAfter);
}

bool PeerSynchronizer::mustReadEvacuations(TimePoint lastConfirmed) const
{
    return mustReadAfter(lastConfirmed, evacuationsDirectReadAfter);
}

bool PeerSynchronizer::mustReadAfter(TimePoint lastConfirmed, milliseconds maxAge) const
{
    const TimePoint now = m_clock.now();
    if (m_pendingSeedPulls > 0 && now < m_seedPullDeadline) {
        return false;
    }
    if (lastConfirmed != TimePoint()) {
        return now > lastConfirmed + maxAge;
    }
    // Nothing is known yet. When many instances start together, the first ones in the ranking read and push what they read.
    const std::size_t rank = m_directory.rank(now);
    return rank < initialReaders
        || now > m_seedPullDeadline + std::min<milliseconds>(startupDelayPerRank * static_cast<std::int64_t>(rank), maxStartupDelay);
}

std::size_t PeerSynchronizer::retryingInstances() const
{
    return m_directory.aliveCount(m_clock.now());
}

void PeerSynchronizer::publishServerUpdates(std::uint64_t from, const ServerUpdates &updates)
{
    const StorePosition known = m_router.viewStatus().serversPosition;
    if (updates.updates.empty()) {
        pushConfirmation();
    } else if (known == updates.position) {
        push(from, updates.updates);
    } else {
        // Another instance has passed on later changes meanwhile. A message with these changes would claim to be complete up to the later
        // revision, so it is sent without changes, and instances that are behind request all they lack.
        push(known.revision(), {});
    }
}

void PeerSynchronizer::publishConfiguration()
{
    // The message contains only version and position; instances that lack the configuration pull it.
    const ViewStatus view = m_router.viewStatus();
    if (view.configurationPosition == view.configurationCheckedPosition) {
        push(view.serversPosition.revision(), {});
    } else {
        pushConfirmation();
    }
}

void PeerSynchronizer::publishEvacuations(bool changed)
{
    if (changed) {
        push(m_router.viewStatus().serversPosition.revision(), {});
    } else {
        pushConfirmation();
    }
}

void PeerSynchronizer::setStoreReachable(bool reachable)
{
    if (m_directory.setStoreReachable(reachable)) {
        m_directory.incrementHeartbeat();
        push(m_router.viewStatus().serversPosition.revision(), {});
    }
}

void PeerSynchronizer::startPull(Endpoint peer)
{
    // Several pulls at once would fetch the same state. While one is running, other messages of newer instances keep arriving.
    // A starting instance pulls from all its seeds, of which some may not run, and from one other instance.
    const TimePoint now = m_clock.now();
    const bool isStarting = m_pendingSeedPulls > 0;
    const bool mustWait = isStarting ? m_activePulls.size() > m_network.seeds.size() : !m_activePulls.empty() && now < m_nextPull;
    if (!mustWait && m_activePulls.insert(peer).second) {
        m_nextPull = now + exclusivePullTime;
        asio::co_spawn(m_executor, pull(peer), asio::detached);
    }
}

asio::awaitable<void> PeerSynchronizer::pull(Endpoint peer)
{
    ++m_counters.pulls;
    const ViewStatus before = m_router.viewStatus();
    const TimePoint requestedAt = m_clock.now();
    const std::uint64_t evacuationChanges = m_router.evacuations().changeCount();
    GossipMessage request = makeMessage();
    request.evacuations = {}; // the peer needs only the view
    Result<PeerState> state = co_await m_stateTransfer.fetch(peer, std::move(request));
    m_activePulls.erase(peer);
    m_pendingSeedPulls -= m_pendingSeedPulls > 0 ? 1 : 0;
    if (!state) {
        ++m_counters.failedPulls;
        m_events.record(EventSeverity::Warning, "peer_pull_failed", { { "peer", peer.toString() }, { "error", state.error().describe() } });
        co_return;
    }
    // The ages refer to the time at which the state was encoded, which may be shortly after the request. The transfer may take seconds.
    const std::chrono::nanoseconds delay = m_clock.now() - requestedAt;
    state->view.serversConfirmedAt -= delay;
    state->view.configurationConfirmedAt -= delay;
    state->view.evacuationsConfirmedAt -= delay;
    merge(state->sender);
    for (const PeerRecord &record : state->records) {
        merge(record);
    }
    m_views.apply(*std::move(state));
    const ViewStatus after = m_router.viewStatus();
    if (after.serversPosition > before.serversPosition || after.hasNewerConfiguration(before)
        || m_router.evacuations().changeCount() != evacuationChanges) {
        push(after.serversPosition.revision(), {});
    }
}

asio::awaitable<Result<void>> PeerSynchronizer::serveStates()
{
    return m_stateTransfer.serve();
}

PeerState PeerSynchronizer::stateFor(const GossipMessage &request)
{
    merge(request.sender);
    return makeState(request.view);
}

PeerState PeerSynchronizer::makeState(const ViewStatus &known) const
{
    PeerState state { .deployment = m_network.deployment, .sender = m_directory.self() };
    m_views.describe(state, known);
    if (known.serversPosition.isUnset()) {
        state.records = m_directory.ranking(m_clock.now()); // the requesting instance has just started
    }
    return state;
}

void PeerSynchronizer::writeMetrics(MetricWriter &writer) const
{
    const TimePoint now = m_clock.now();
    writer.gauge(
        "samphirepitch_peers", "Other live instances that this instance knows.", {}, static_cast<double>(m_directory.aliveCount(now) - 1));
    writer.gauge(
        "samphirepitch_store_reader", "1 if this instance reads the store for all instances, otherwise 0.", {}, watchesStore() ? 1 : 0);
    m_counters.write(writer);
}

} // namespace Samphirepitch
