#include "peer/distributor.h"

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

constexpr std::size_t maxRejected = 64; // records that are remembered as faulty

} // namespace

Distributor::Distributor(ConfigStore &store, PeerChannel &channel, EventSink &events, std::vector<ConfigListener *> listeners)
    : m_store(store)
    , m_channel(channel)
    , m_events(events)
    , m_listeners(std::move(listeners))
{
}

const HeadPointer &Distributor::held() const
{
    return m_held;
}

const HeadRecord *Distributor::heldRecord() const
{
    return m_record ? &*m_record : nullptr;
}

void Distributor::linkUp(const std::string &peer)
{
    m_peers.insert(peer);
    if (m_held.generation > 0) {
        m_channel.send(peer, Announce { m_held });
    }
}

void Distributor::linkDown(const std::string &peer, TimePoint now)
{
    m_peers.erase(peer);
    dropSource(peer, now);
}

void Distributor::peerHolds(const std::string &peer, std::uint64_t generation)
{
    if (generation < m_held.generation) {
        m_channel.send(peer, Announce { m_held });
    }
}

void Distributor::announced(const std::string &peer, const HeadPointer &head, TimePoint now)
{
    if (head.generation == m_held.generation && head.record != m_held.record && m_conflict != head.generation) {
        // Two changes were accepted as the same generation, which needs a platform that was restored meanwhile.
        m_conflict = head.generation;
        m_events.record(EventSeverity::Error, "generation_conflict",
            { { "generation", std::to_string(head.generation) }, { "peer", peer }, { "record", head.record.toHex() } });
    }
    if (head.generation <= m_held.generation || m_rejected.contains(head.record)) {
        return;
    }
    if (m_pull && m_pull->head == head) {
        m_pull->sources.insert(peer);
    } else if (!m_pull || head.generation > m_pull->head.generation) {
        m_pull = Pull { head, { peer } };
        continuePull(now);
    }
}

void Distributor::partsRequested(const std::string &peer, const std::vector<ContentName> &names)
{
    for (const ContentName &name : names) {
        const auto content = m_store.part(name);
        // What does not fit into the send queue is asked for again.
        if (!m_channel.send(peer, PartReply { name, content ? *content : std::string() })) {
            return;
        }
    }
}

void Distributor::partReceived(const std::string &peer, PartReply reply, TimePoint now)
{
    if (!m_pull || m_pull->asked != peer || m_pull->outstanding.erase(reply.name) == 0) {
        ++m_refusedParts;
        return;
    }
    if (reply.content.empty()) {
        dropSource(peer, now);
        return;
    }
    if (const Result<void> taken = m_store.put(reply.name, std::move(reply.content)); !taken) {
        ++m_refusedParts;
        m_events.record(EventSeverity::Warning, "part_refused", { { "peer", peer }, { "error", taken.error().describe() } });
        dropSource(peer, now);
        return;
    }
    m_pull->progressed = true;
    if (m_pull->outstanding.empty()) {
        continuePull(now);
    }
}

void Distributor::advance(TimePoint now)
{
    if (!m_pull || now < m_pull->deadline) {
        return;
    }
    if (std::exchange(m_pull->progressed, false)) {
        continuePull(now);
    } else {
        dropSource(std::string(m_pull->asked), now);
    }
}

Result<std::vector<ContentName>> Distributor::missingParts(const HeadPointer &head) const
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

Result<void> Distributor::addPart(const ContentName &name, std::string content)
{
    return m_store.put(name, std::move(content));
}

Result<void> Distributor::adopt(const HeadPointer &head, std::string_view source)
{
    if (head.generation <= m_held.generation) {
        return failure(ErrorKind::Rejected, "generation " + std::to_string(head.generation), "a generation as high is held");
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
    m_record = std::move(*found);
    m_set = std::make_shared<const ConfigSet>(std::move(*set));
    if (m_pull && m_pull->head.generation <= head.generation) {
        m_pull.reset();
    }
    if (!m_pull) { // the parts of a pull that goes on are not listed yet
        std::vector<ContentName> names = ConfigTree::referencedParts(*m_record, m_store).value_or(std::vector<ContentName>());
        names.push_back(head.record);
        m_store.retain(std::move(names));
    }
    m_events.record(EventSeverity::Info, "generation_adopted",
        { { "generation", std::to_string(head.generation) }, { "source", std::string(source) }, { "change", m_record->changeId() } });
    const ConfigGeneration generation { head, m_set };
    for (ConfigListener *listener : m_listeners) {
        listener->configurationChanged(generation);
    }
    announceToSome();
    return {};
}

/** Tells some peers, another choice for each generation; peerHolds() tells the others if they still lag at their next heartbeat. */
void Distributor::announceToSome()
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

Result<ConfigSet> Distributor::assemble(const HeadRecord &record) const
{
    // The parts of the held generation are still in the store, so that only what differs has to be decoded.
    if (m_record && m_set) {
        Result<ConfigSet> set = ConfigTree::assembleIncrementally(*m_set, *m_record, record, m_store);
        if (set) {
            return set;
        }
    }
    return ConfigTree::assemble(record, m_store);
}

std::uint64_t Distributor::refusedParts() const
{
    return m_refusedParts;
}

Result<HeadRecord> Distributor::record(const HeadPointer &head) const
{
    const auto content = m_store.part(head.record);
    if (!content) {
        return failure(ErrorKind::NotFound, head.record.toHex(), "the head record is not held");
    }
    Result<HeadRecord> decoded = HeadRecord::decode(*content);
    if (decoded && decoded->generation() != head.generation) {
        return failure(ErrorKind::Malformed, head.record.toHex(), "the head record is of another generation");
    }
    return decoded;
}

void Distributor::continuePull(TimePoint now)
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
    if (!m_pull->sources.contains(m_pull->asked)) {
        m_pull->asked = *m_pull->sources.begin();
    }
    m_pull->outstanding = std::set<ContentName>(request.names.begin(), request.names.end());
    m_pull->deadline = now + pullTimeout;
    if (!m_channel.send(m_pull->asked, request)) {
        dropSource(std::string(m_pull->asked), now);
    }
}

void Distributor::dropSource(const std::string &peer, TimePoint now)
{
    if (m_pull && m_pull->sources.erase(peer) > 0 && m_pull->asked == peer) {
        continuePull(now);
    }
}

void Distributor::reject(const HeadPointer &head, const Error &error)
{
    m_pull.reset();
    if (m_rejected.size() >= maxRejected) {
        m_rejected.clear();
    }
    m_rejected.insert(head.record);
    m_events.record(
        EventSeverity::Error, "generation_rejected", { { "generation", std::to_string(head.generation) }, { "error", error.describe() } });
}

} // namespace Samphirepitch
