#include "peer/configdistributor.h"

#include "core/eventsink.h"
#include "core/hash.h"
#include "model/configtree.h"
#include "peer/peerchannel.h"

#include <algorithm>
#include <utility>

namespace Samphirepitch
{

namespace
{

constexpr std::size_t maxRejected = 64; // invalid head records that are remembered, so that they are not pulled again

} // namespace

ConfigDistributor::ConfigDistributor(ConfigStore &store, PeerChannel &channel, EventSink &events, std::vector<ConfigListener *> listeners)
    : m_store(store)
    , m_channel(channel)
    , m_events(events)
    , m_listeners(std::move(listeners))
{
}

const HeadPointer &ConfigDistributor::held() const
{
    return m_held;
}

const HeadRecord *ConfigDistributor::heldRecord() const
{
    return m_heldRecord ? &*m_heldRecord : nullptr;
}

void ConfigDistributor::linkUp(const std::string &peer)
{
    m_peers.insert(peer);
    if (m_held.generation > 0) {
        m_channel.send(peer, Announce { m_held });
    }
}

void ConfigDistributor::linkDown(const std::string &peer, TimePoint now)
{
    m_peers.erase(peer);
    dropSource(peer, now);
}

void ConfigDistributor::peerHolds(const std::string &peer, std::uint64_t generation)
{
    if (generation < m_held.generation) {
        m_channel.send(peer, Announce { m_held });
    }
}

void ConfigDistributor::announced(const std::string &peer, const HeadPointer &head, TimePoint now)
{
    if (head.generation == m_held.generation && head.record != m_held.record && m_reportedConflict != head.generation) {
        // Two changes were accepted as the same generation. This happens only if the platform was restored in between.
        m_reportedConflict = head.generation;
        m_events.record(EventSeverity::Error, "generation_conflict",
            { { "generation", std::to_string(head.generation) }, { "peer", peer }, { "record", head.record.toHex() } });
    }
    if (head.generation <= m_held.generation || m_rejectedRecords.contains(head.record)) {
        return;
    }
    if (m_pull && m_pull->head == head) {
        m_pull->sources.insert(peer);
    } else if (!m_pull || head.generation > m_pull->head.generation) {
        m_pull = Pull { head, { peer } };
        continuePull(now);
    }
}

void ConfigDistributor::partsRequested(const std::string &peer, const std::vector<ContentName> &names)
{
    for (const ContentName &name : names) {
        const auto content = m_store.part(name);
        // The peer requests the parts again that do not fit into the send queue.
        if (!m_channel.send(peer, PartReply { name, content ? *content : std::string() })) {
            return;
        }
    }
}

void ConfigDistributor::partReceived(const std::string &peer, PartReply reply, TimePoint now)
{
    if (!m_pull || m_pull->askedPeer != peer || m_pull->outstanding.erase(reply.name) == 0) {
        ++m_refusedParts;
        return;
    }
    if (reply.content.empty()) {
        dropSource(peer, now);
        return;
    }
    if (const Result<void> stored = m_store.put(reply.name, std::move(reply.content)); !stored) {
        ++m_refusedParts;
        m_events.record(EventSeverity::Warning, "part_refused", { { "peer", peer }, { "error", stored.error().describe() } });
        dropSource(peer, now);
        return;
    }
    m_pull->hasProgress = true;
    if (m_pull->outstanding.empty()) {
        continuePull(now);
    }
}

void ConfigDistributor::advance(TimePoint now)
{
    if (!m_pull || now < m_pull->deadline) {
        return;
    }
    if (std::exchange(m_pull->hasProgress, false)) {
        continuePull(now);
    } else {
        dropSource(std::string(m_pull->askedPeer), now);
    }
}

Result<std::vector<ContentName>> ConfigDistributor::missingParts(const HeadPointer &head) const
{
    const Result<HeadRecord> found = record(head);
    if (found) {
        return ConfigTree::missingParts(*found, m_store);
    }
    if (found.error().kind() == ErrorKind::NotFound) {
        return std::vector<ContentName> { head.record };
    }
    return tl::unexpected<Error>(found.error());
}

Result<void> ConfigDistributor::addPart(const ContentName &name, std::string content)
{
    return m_store.put(name, std::move(content));
}

Result<void> ConfigDistributor::adopt(const HeadPointer &head, std::string_view source)
{
    if (head.generation <= m_held.generation) {
        return failure(ErrorKind::Rejected, "generation " + std::to_string(head.generation), "this generation or a higher one is held");
    }
    Result<HeadRecord> found = record(head);
    if (!found) {
        return tl::unexpected<Error>(found.error());
    }
    Result<ConfigSet> set = assemble(*found);
    if (!set) {
        return tl::unexpected<Error>(set.error());
    }
    m_held = head;
    m_heldRecord = std::move(*found);
    m_heldSet = std::make_shared<const ConfigSet>(std::move(*set));
    if (m_pull && m_pull->head.generation <= head.generation) {
        m_pull.reset();
    }
    if (!m_pull) { // the pull of a higher generation still needs its parts, which the adopted record does not list
        std::vector<ContentName> names = ConfigTree::referencedParts(*m_heldRecord, m_store).value_or(std::vector<ContentName>());
        names.push_back(head.record);
        m_store.retain(std::move(names));
    }
    m_events.record(EventSeverity::Info, "generation_adopted",
        { { "generation", std::to_string(head.generation) }, { "source", std::string(source) }, { "change", m_heldRecord->changeId() } });
    const ConfigGeneration generation { head, m_heldSet };
    for (ConfigListener *listener : m_listeners) {
        listener->configurationChanged(generation);
    }
    announceToSomePeers();
    return {};
}

/**
 * Announces the held generation to some peers, a different selection for each generation. peerHolds() announces it to the others if
 * they still lag at their next heartbeat.
 */
void ConfigDistributor::announceToSomePeers()
{
    std::vector<std::pair<std::uint64_t, std::string>> ranked;
    for (const std::string &peer : m_peers) {
        ranked.emplace_back(mix64(hash64(peer), m_held.generation), peer);
    }
    std::sort(ranked.begin(), ranked.end());
    ranked.resize(std::min(ranked.size(), firstAnnouncements));
    for (const auto &[rank, peer] : ranked) {
        m_channel.send(peer, Announce { m_held });
    }
}

Result<ConfigSet> ConfigDistributor::assemble(const HeadRecord &record) const
{
    // The parts of the held generation are still stored, so only the parts that differ have to be decoded.
    if (m_heldRecord && m_heldSet) {
        Result<ConfigSet> set = ConfigTree::assembleIncrementally(*m_heldSet, *m_heldRecord, record, m_store);
        if (set) {
            return set;
        }
    }
    return ConfigTree::assemble(record, m_store);
}

std::uint64_t ConfigDistributor::refusedParts() const
{
    return m_refusedParts;
}

Result<HeadRecord> ConfigDistributor::record(const HeadPointer &head) const
{
    const auto content = m_store.part(head.record);
    if (!content) {
        return failure(ErrorKind::NotFound, head.record.toHex(), "the head record is not held");
    }
    Result<HeadRecord> decoded = HeadRecord::decode(*content);
    if (decoded && decoded->generation() != head.generation) {
        return failure(ErrorKind::Malformed, head.record.toHex(), "the head record belongs to another generation");
    }
    return decoded;
}

void ConfigDistributor::continuePull(TimePoint now)
{
    if (m_pull->sources.empty()) {
        m_pull.reset();
        return;
    }
    const HeadPointer head = m_pull->head;
    const Result<std::vector<ContentName>> missing = missingParts(head);
    if (!missing) {
        reject(head, missing.error());
        return;
    }
    if (missing->empty()) {
        if (const Result<void> adopted = adopt(head, "peer"); !adopted) {
            reject(head, adopted.error());
        }
        return;
    }
    const std::size_t count = std::min(missing->size(), MessageLimits::partNames);
    PartRequest request;
    request.names.assign(missing->begin(), missing->begin() + static_cast<std::ptrdiff_t>(count));
    if (!m_pull->sources.contains(m_pull->askedPeer)) {
        m_pull->askedPeer = *m_pull->sources.begin();
    }
    m_pull->outstanding = std::set<ContentName>(request.names.begin(), request.names.end());
    m_pull->deadline = now + pullTimeout;
    if (!m_channel.send(m_pull->askedPeer, request)) {
        dropSource(std::string(m_pull->askedPeer), now);
    }
}

void ConfigDistributor::dropSource(const std::string &peer, TimePoint now)
{
    if (m_pull && m_pull->sources.erase(peer) > 0 && m_pull->askedPeer == peer) {
        continuePull(now);
    }
}

void ConfigDistributor::reject(const HeadPointer &head, const Error &error)
{
    m_pull.reset();
    if (m_rejectedRecords.size() >= maxRejected) {
        m_rejectedRecords.clear();
    }
    m_rejectedRecords.insert(head.record);
    m_events.record(
        EventSeverity::Error, "generation_rejected", { { "generation", std::to_string(head.generation) }, { "error", error.describe() } });
}

} // namespace Samphirepitch
