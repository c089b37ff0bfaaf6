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
 * Distributes configuration generations between instances. Pulls an announced generation part by part, adopts it when it is
 * complete if its number is higher than that of the held generation, and announces it to peers.
 */
class ConfigDistributor
{
public:
    /**
     * Number of peers that get the announcement of a new generation at once. If all peers got it at once, all of them would pull the
     * parts from the watcher that has them first, which would send each part nine times.
     */
    static constexpr std::size_t firstAnnouncements = 3;
    /** Time from a request until it is repeated, or sent to another peer if no part arrived. */
    static constexpr std::chrono::milliseconds pullTimeout { 1000 };

    /**
     * All arguments must outlive the distributor.
     * @param store receives the parts
     * @param channel sends messages to linked peers
     * @param events records adopted, rejected and conflicting generations
     * @param listeners are notified of each adopted generation
     */
    ConfigDistributor(ConfigStore &store, PeerChannel &channel, EventSink &events, std::vector<ConfigListener *> listeners);

    /** Returns the held generation; its number is 0 if there is none. */
    const HeadPointer &held() const;

    /** Returns the head record of the held generation, or null if there is none. */
    const HeadRecord *heldRecord() const;

    /** Adds a linked peer and announces the held generation to it. */
    void linkUp(const std::string &peer);

    /** Removes a peer whose link ended. A pull from it continues with another peer. */
    void linkDown(const std::string &peer, TimePoint now);

    /** Announces the held generation to @p peer if @p generation, which the peer's heartbeat reported, is lower. */
    void peerHolds(const std::string &peer, std::uint64_t generation);

    /** Handles an announcement: starts to pull @p head if it is newer, or adds @p peer as a source of the current pull. */
    void announced(const std::string &peer, const HeadPointer &head, TimePoint now);

    /** Sends the requested parts to @p peer, as far as its send queue has room. */
    void partsRequested(const std::string &peer, const std::vector<ContentName> &names);

    /** Stores a part that was requested from @p peer; refuses any other part. */
    void partReceived(const std::string &peer, PartReply reply, TimePoint now);

    /** Handles a request whose deadline has passed: repeats it, or uses another source if no part arrived. */
    void advance(TimePoint now);

    /**
     * Lists the parts of a generation that are needed next. Parts that only a missing part refers to are not known yet.
     * @param head the generation
     * @return the names of the parts, empty if the generation is complete, or Malformed or TooLarge if a stored part is invalid
     */
    Result<std::vector<ContentName>> missingParts(const HeadPointer &head) const;

    /**
     * Stores a part that was read from the platform.
     * @return Malformed if @p content does not match @p name, or TooLarge if the store is full
     */
    Result<void> addPart(const ContentName &name, std::string content);

    /**
     * Adopts a complete generation: notifies the listeners and announces it to peers.
     * @param head the generation
     * @param source "peer" or "platform", as recorded in the event
     * @return Rejected if the number is not higher than that of the held generation, NotFound if a part is missing, or Malformed
     * or TooLarge if a part is invalid
     */
    Result<void> adopt(const HeadPointer &head, std::string_view source);

    /** Returns the number of received parts that were refused because they were not requested or could not be stored. */
    std::uint64_t refusedParts() const;

private:
    /** A generation that is being transferred from peers. */
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
    std::shared_ptr<const ConfigSet> m_heldSet; // assembled from the parts of m_heldRecord
    std::set<std::string> m_peers; // ids of the linked peers
    std::optional<Pull> m_pull;
    std::set<ContentName> m_rejectedRecords;
    std::uint64_t m_refusedParts = 0;
    std::uint64_t m_reportedConflict = 0;
};

} // namespace Samphirepitch
