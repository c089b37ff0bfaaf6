#pragma once

#include "core/error.h"
#include "evacuation/evacuationset.h"
#include "loadreport/peerloadreport.h"
#include "stream/discovery.h"
#include "stream/peerrecord.h"
#include "stream/streamconfiguration.h"
#include "stream/streamserver.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Samphirepitch
{

/**
 * Up to which position of the store an instance's view of the store is complete, and when that was last confirmed. The view consists of the
 * list of servers, the configuration and the evacuations. Times are sent as ages.
 */
struct ViewStatus {
    StorePosition serversPosition; /**< up to which all changes of servers are known; unset if none */
    std::uint64_t configurationVersion = 0; /**< of the configuration in force */
    StorePosition configurationPosition; /**< of the configuration in force; unset if none */
    StorePosition configurationCheckedPosition; /**< up to which no newer configuration exists */
    TimePoint serversConfirmedAt {}; /**< when the list of servers was last known to be complete; TimePoint() if never */
    TimePoint configurationConfirmedAt {}; /**< when the configuration was last known to be the newest; TimePoint() if never */
    StorePosition evacuationsPosition; /**< up to which all evacuations are known; unset if none, also if evacuations are off */
    TimePoint evacuationsConfirmedAt {}; /**< when the evacuations were last known to be complete; TimePoint() if never */

    /** Returns whether the configuration in force replaces that of @p other, in the order of StreamConfiguration::isNewerThan(). */
    bool hasNewerConfiguration(const ViewStatus &other) const
    {
        return configurationVersion != other.configurationVersion ? configurationVersion > other.configurationVersion
                                                                  : configurationPosition > other.configurationPosition;
    }

    friend bool operator==(const ViewStatus &, const ViewStatus &) = default;
};

/** A backend server of which the sending instance has proof that it ended, such as a refused connection. */
struct EndedServer {
    std::string id;
    std::uint64_t startedAt = 0; /**< start time of the incarnation that ended, Unix time in milliseconds */

    friend bool operator==(const EndedServer &, const EndedServer &) = default;
};

/** A message between instances, sent in one datagram. Sent over a connection, it is the request for a PeerState. */
struct GossipMessage {
    std::string deployment; /**< instances of other deployments reject the message */
    PeerRecord sender;
    ViewStatus view; /**< of the sender */
    bool pushed = false; /**< whether the message goes down the tree; a receiver forwards it if it contains something new */
    std::uint64_t baseRevision = 0; /**< store revision, in the era of the view, that the changes follow; 0 if they are not sent */
    std::vector<ServerUpdate> changes;
    std::vector<EndedServer> ended;
    std::vector<PeerRecord> records; /**< some of the other instances that the sender knows */
    EvacuationSet evacuations; /**< that the sender knows; without the single ones if they would not fit */
    PeerLoadReport load; /**< of the sender; empty if it sends none */
};

/** The part of an instance's state that a requesting instance lacks, sent over a connection. */
struct PeerState {
    std::string deployment; /**< instances of other deployments reject the state */
    PeerRecord sender;
    ViewStatus view; /**< of the sender */
    std::uint64_t baseRevision = 0; /**< store revision, in the era of the view, that the changes follow; 0 if they are the complete list */
    std::vector<ServerUpdate> changes;
    StreamConfiguration configuration; /**< empty if the requesting instance has it already */
    std::vector<PeerRecord> records; /**< all live instances if the requesting instance has just started, otherwise empty */
    EvacuationSet evacuations; /**< all that the sender knows */
};

/** Encodes messages between instances as msgpack arrays. Points in time are sent as ages or as remaining times. */
class GossipCodec
{
public:
    static constexpr std::size_t maxMessageSize = 1400; /**< bytes; a datagram of this size is not fragmented on any link */
    static constexpr std::size_t maxChanges = 8; /**< in one message; more changes are pulled as a state */
    static constexpr std::size_t maxRecords = 8; /**< other instances in one message */
    static constexpr std::size_t maxServers = 100000; /**< in one state; above the planned 74,000 */
    static constexpr std::size_t maxRoutes = 20000; /**< in one state */
    static constexpr std::size_t maxServices = 20000; /**< services with limits in one state */
    static constexpr std::size_t maxInstances = 20000; /**< instances in one state */

    static constexpr std::size_t maxEvacuations = 32; /**< in one message; more are pulled as a state */
    static constexpr std::size_t maxEvacuationBytes = 700; /**< of the domains in one message, so that the rest of it fits a datagram */

    /**
     * Encodes a message. The load report is left out of a message that would exceed maxMessageSize with it.
     * @param now the time from which ages and remaining times are computed
     */
    static std::string encode(const GossipMessage &message, TimePoint now);

    /** Encodes a state. @param now the time from which ages and remaining times are computed */
    static std::string encode(const PeerState &state, TimePoint now);

    /**
     * Decodes a message.
     * @param now the time of arrival, to which ages and remaining times refer
     * @return the message; Malformed if a field is missing or has a wrong type or value, or TooLarge if a field exceeds its limit
     */
    static Result<GossipMessage> decodeMessage(std::string_view bytes, TimePoint now);

    /**
     * Decodes a state.
     * @param now the time of arrival, to which ages and remaining times refer
     * @return the state; Malformed if a field is missing or has a wrong type or value, or TooLarge if a field exceeds its limit
     */
    static Result<PeerState> decodeState(std::string_view bytes, TimePoint now);
};

} // namespace Samphirepitch
