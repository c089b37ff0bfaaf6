#pragma once

#include "core/endpoint.h"
#include "core/hash.h"
#include "core/hybridclock.h"
#include "membership/member.h"
#include "model/headrecord.h"
#include "peer/domainstatus.h"
#include "peer/event.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Samphirepitch
{

/** Limits of message fields; MessageCodec refuses anything above. */
struct MessageLimits {
    static constexpr std::size_t id = 128; /**< bytes of an instance id, a name or a failure domain */
    static constexpr std::size_t memberEvents = 64; /**< in one MemberEvents */
    static constexpr std::size_t heartbeatEvents = 8; /**< in one Heartbeat */
    static constexpr std::size_t partNames = 64; /**< in one PartRequest */
    static constexpr std::size_t partSize = 1024 * 1024; /**< bytes of one part */
    static constexpr std::size_t serverStates = 256; /**< in one ServerStates */
    static constexpr std::size_t flowKeys = 8192; /**< in one FlowExceptionBatch */
    static constexpr std::size_t reportedInstances = 32; /**< in one GenerationReport */
    static constexpr std::size_t statuses = 64; /**< in one StatusReply */
    static constexpr std::size_t statusInstances = 64; /**< in each status of a StatusReply */
    static constexpr std::size_t events = 256; /**< in one EventsReply */
    static constexpr std::size_t eventFields = 16; /**< of one event */
    static constexpr std::size_t eventText = 256; /**< bytes of a value of an event */
    static constexpr std::size_t domains = 64; /**< failure domains in one Heartbeat */
};

/** What is spread about a member: its values as the sender knows them. */
using MemberEvent = Member::Fields;

/** The first message of both sides of a connection. */
struct Hello {
    static constexpr std::uint32_t currentVersion = 1;

    std::uint32_t protocolVersion = currentVersion;
    std::string instanceId; /**< empty for the operators' client */
    std::uint64_t incarnation = 0;
    std::string failureDomain;
    std::string deployment;
    std::uint64_t heldGeneration = 0;
    Endpoint peerAddress; /**< lets the receiver know the sender before the instance list names it */
    Endpoint dataAddress;

    friend bool operator==(const Hello &, const Hello &) = default;
};

/** How far a failure domain is with the newest generation; spread by its watchers. */
struct DomainProgress {
    std::string failureDomain;
    std::uint64_t prepared = 0; /**< lowest prepared generation of its live instances */
    std::uint64_t active = 0; /**< lowest generation in force */
    std::uint64_t reportedAtMs = 0; /**< wall time at the watcher; a newer value replaces an older one */

    friend bool operator==(const DomainProgress &, const DomainProgress &) = default;
};

/** Sent over each link each 500 ms. */
struct Heartbeat {
    std::uint64_t incarnation = 0;
    std::uint64_t held = 0;
    std::uint64_t prepared = 0;
    std::uint64_t active = 0;
    std::uint64_t platformContactAgeMs = 0; /**< since the youngest sign of platform contact that the sender knows */
    std::vector<MemberEvent> events;
    std::vector<DomainProgress> progress; /**< only what changed since the last heartbeat, or all each 5 s */

    friend bool operator==(const Heartbeat &, const Heartbeat &) = default;
};

/** Tells of a generation that the sender holds. */
struct Announce {
    HeadPointer head;

    friend bool operator==(const Announce &left, const Announce &right)
    {
        return left.head == right.head;
    }
};

/** Asks for parts by name. */
struct PartRequest {
    std::vector<ContentName> names;

    friend bool operator==(const PartRequest &, const PartRequest &) = default;
};

/** One part; the content is empty if the sender does not hold it. */
struct PartReply {
    ContentName name;
    std::string content;

    friend bool operator==(const PartReply &, const PartReply &) = default;
};

/** Changes of members; forwarded by each instance to which they are news. */
struct MemberEvents {
    std::vector<MemberEvent> events;

    friend bool operator==(const MemberEvents &, const MemberEvents &) = default;
};

/** A change of the health of a backend server. */
struct ServerHealthChange {
    std::string pool;
    std::string server;
    bool healthy = true;
    HybridTime at; /**< when the prober saw the change; the newest one counts */

    friend bool operator==(const ServerHealthChange &, const ServerHealthChange &) = default;
};

/** Changes of backend servers; forwarded by each instance to which they are news. */
struct ServerStates {
    std::vector<ServerHealthChange> states;

    friend bool operator==(const ServerStates &, const ServerStates &) = default;
};

/** Keys of flows that stay on the old server of their bucket. */
struct FlowExceptionBatch {
    std::string service;
    std::uint64_t generation = 0;
    std::vector<std::uint64_t> keys;
    Endpoint server; /**< address of the backend server that has the flows */
    std::string failureDomain; /**< failure domain of that server */
    std::uint64_t sequence = 0; /**< chosen by the sender, for FlowExceptionAck */

    friend bool operator==(const FlowExceptionBatch &, const FlowExceptionBatch &) = default;
};

/** Tells the sender of FlowExceptionBatch that the receiver holds them. */
struct FlowExceptionAck {
    std::uint64_t sequence = 0;

    friend bool operator==(const FlowExceptionAck &, const FlowExceptionAck &) = default;
};

/** Asks for the status of the failure domains that the instance knows. */
struct StatusQuery {
    friend bool operator==(const StatusQuery &, const StatusQuery &) = default;
};

/** The answer to StatusQuery. */
struct StatusReply {
    std::vector<DomainStatus> statuses;

    friend bool operator==(const StatusReply &, const StatusReply &) = default;
};

/** Asks for events after a sequence number. */
struct EventsQuery {
    std::uint64_t afterSequence = 0;

    friend bool operator==(const EventsQuery &, const EventsQuery &) = default;
};

/** The answer to EventsQuery. */
struct EventsReply {
    std::vector<Event> events; /**< sorted by sequence */

    friend bool operator==(const EventsReply &, const EventsReply &) = default;
};

/** Asks the instance to stop gracefully. */
struct DrainRequest {
    friend bool operator==(const DrainRequest &, const DrainRequest &) = default;
};

/** The answer to DrainRequest. */
struct DrainReply {
    bool accepted = false; /**< false if the instance is leaving already */

    friend bool operator==(const DrainReply &, const DrainReply &) = default;
};

/** Progress of a subtree of the aggregation tree of a failure domain, for the parent. */
struct GenerationReport {
    std::uint64_t lowestPrepared = 0;
    std::uint64_t lowestActive = 0;
    std::uint64_t highestHeld = 0;
    std::uint32_t count = 0; /**< instances of the subtree, with the sender */
    std::vector<InstanceStatus> instances; /**< all of a small failure domain, else at most 8 that lag */

    friend bool operator==(const GenerationReport &, const GenerationReport &) = default;
};

/** Any message; the position in the list, counted from 1, is the type on the wire, so new types go to the end. */
using Message = std::variant<Hello, Heartbeat, Announce, PartRequest, PartReply, MemberEvents, ServerStates, FlowExceptionBatch,
    StatusQuery, StatusReply, EventsQuery, EventsReply, DrainRequest, DrainReply, GenerationReport, FlowExceptionAck>;

/** A message and the hybrid time at which it was sent. */
struct Envelope {
    HybridTime at;
    Message message;

    friend bool operator==(const Envelope &, const Envelope &) = default;
};

/** Returns the stable lower-case name of the message type with @p index in Message, as used in metrics. */
std::string_view messageTypeName(std::size_t index);

} // namespace Samphirepitch
