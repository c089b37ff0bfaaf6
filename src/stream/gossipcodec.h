#pragma once

#include "core/error.h"
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

/** How far an instance's views go, and when they were complete. */
struct ViewStatus {
    std::uint64_t serversRevision = 0; /**< of the store, up to which all changes of servers are known; 0 if none */
    std::uint64_t configurationRevision = 0; /**< of the configuration in force; 0 if none */
    std::uint64_t configurationCheckedRevision = 0; /**< of the store, up to which no newer configuration existed */
    TimePoint serversConfirmedAt {}; /**< on the wire an age */
    TimePoint configurationConfirmedAt {}; /**< on the wire an age */

    friend bool operator==(const ViewStatus &, const ViewStatus &) = default;
};

/** A server that ended for certain, by what its sender has seen. */
struct EndedServer {
    std::string id;
    std::uint64_t startedAt = 0; /**< the incarnation that ended */

    friend bool operator==(const EndedServer &, const EndedServer &) = default;
};

/** A datagram between instances. */
struct GossipMessage {
    std::string deployment; /**< instances of other deployments refuse it */
    PeerRecord sender;
    ViewStatus view;
    bool pushed = false; /**< passed down the tree of the reader, and on by each receiver to which it is new */
    std::uint64_t baseRevision = 0; /**< the changes lead from this revision to that of the view */
    std::vector<ServerUpdate> changes;
    std::vector<EndedServer> ended;
    std::vector<PeerRecord> records; /**< other instances */
};

/** What an instance lacks to serve, sent over a connection. */
struct PeerState {
    std::string deployment; /**< instances of other deployments refuse it */
    PeerRecord sender;
    ViewStatus view;
    std::uint64_t baseRevision = 0; /**< the changes lead from this revision to that of the view; 0 if they are the complete list */
    std::vector<ServerUpdate> changes;
    StreamConfiguration configuration; /**< empty if the asking instance has it */
    std::vector<PeerRecord> records;
};

/** Reads and writes messages between instances as msgpack arrays. Points in time cross the wire as ages or remaining times. */
class GossipCodec
{
public:
    static constexpr std::size_t maxMessageSize = 1400; /**< bytes of a datagram that no link splits */
    static constexpr std::size_t maxChanges = 8; /**< more are pulled as a state */
    static constexpr std::size_t maxRecords = 8; /**< of other instances in one datagram */
    static constexpr std::size_t maxServers = 100000; /**< of a state; above the planned 74,000 */
    static constexpr std::size_t maxRoutes = 20000;
    static constexpr std::size_t maxMembers = 20000;

    static std::string encode(const GossipMessage &message, TimePoint now);
    static std::string encode(const PeerState &state, TimePoint now);

    /** @return the news, Malformed or TooLarge */
    static Result<GossipMessage> decodeMessage(std::string_view bytes, TimePoint now);

    /** @return the state, Malformed or TooLarge */
    static Result<PeerState> decodeState(std::string_view bytes, TimePoint now);
};

} // namespace Samphirepitch
