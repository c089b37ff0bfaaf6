#pragma once

#include "core/clock.h"
#include "core/error.h"
#include "model/configgeneration.h"
#include "peer/configstore.h"
#include "peer/message.h"

#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Samphirepitch
{

class EventSink;
class PeerChannel;

/**
 * Decides which generation an instance holds: pulls announced generations part by part, adopts a complete one only if its
 * number is higher than the held one, and announces it.
 */
class ConfigDistributor
{
public:
    /**
     * Peers that are told of a new generation at once. Told all at once, every peer pulls the parts from the watcher that has them
     * first, and it alone sends them nine times.
     */
    static constexpr std::size_t firstAnnouncements = 3;
    static constexpr std::chrono::milliseconds pullTimeout { 1000 }; /**< without a part from the peer that was asked */

    /** All arguments outlive the distributor; @p listeners hear of each adopted generation. */
    ConfigDistributor(ConfigStore &store, PeerChannel &channel, EventSink &events, std::vector<ConfigListener *> listeners);

    /** The held generation; generation 0 if none. */
    const HeadPointer &held() const;

    /** The record of the held generation, or null. */
    const HeadRecord *heldRecord() const;

    /** Tells a new peer what is held here. */
    void linkUp(const std::string &peer);

    /** Continues a pull from another peer. */
    void linkDown(const std::string &peer, TimePoint now);

    /** A heartbeat says what @p peer holds; a peer that lags is told again. */
    void peerHolds(const std::string &peer, std::uint64_t generation);

    /** A peer announced a generation. */
    void announced(const std::string &peer, const HeadPointer &head, TimePoint now);

    /** A peer asks for parts. */
    void partsRequested(const std::string &peer, const std::vector<ContentName> &names);

    /** A part came from a peer. */
    void partReceived(const std::string &peer, PartReply reply, TimePoint now);

    /** Repeats requests whose deadline passed. */
    void advance(TimePoint now);

    /** Lists the parts of @p head that are needed next; empty if it is complete. @return names, or Malformed */
    Result<std::vector<ContentName>> missingParts(const HeadPointer &head) const;

    /** Takes a part that was read from the platform. @return Malformed or TooLarge */
    Result<void> addPart(const ContentName &name, std::string content);

    /**
     * Adopts a complete generation if it is higher than the held one; tells listeners and peers.
     * @param source "peer" or "platform", for the event
     * @return NotFound, Malformed, or Rejected if the generation is not higher
     */
    Result<void> adopt(const HeadPointer &head, std::string_view source);

    /** Number of parts that were refused because they were not asked for or had another name. */
    std::uint64_t refusedParts() const;

private:
    struct Pull {
        HeadPointer head;
        std::set<std::string> sources;
        std::string askedPeer;
        std::set<ContentName> outstanding;
        bool hasProgress = false;
        TimePoint deadline;
    };

    Result<HeadRecord> record(const HeadPointer &head) const;
    Result<ConfigSet> assemble(const HeadRecord &record) const;
    void continuePull(TimePoint now);
    void dropSource(const std::string &peer, TimePoint now);
    void announceToSomePeers();
    void reject(const HeadPointer &head, const Error &error);

    ConfigStore &m_store;
    PeerChannel &m_channel;
    EventSink &m_events;
    std::vector<ConfigListener *> m_listeners;
    HeadPointer m_held;
    std::optional<HeadRecord> m_heldRecord;
    std::shared_ptr<const ConfigSet> m_heldSet; // of m_heldRecord
    std::set<std::string> m_peers; // with a link
    std::optional<Pull> m_pull;
    std::set<ContentName> m_rejectedRecords;
    std::uint64_t m_refusedParts = 0;
    std::uint64_t m_reportedConflict = 0;
};

} // namespace Samphirepitch
