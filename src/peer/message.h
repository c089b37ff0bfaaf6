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

/** Limits of message fields. MessageCodec refuses messages that exceed them. */
struct MessageLimits {
    static constexpr std::size_t id = 128; /**< bytes of an instance id, of any name, or of a failure domain */
    static constexpr std::size_t memberEvents = 64; /**< entries in one MemberEvents */
    static constexpr std::size_t heartbeatEvents = 8; /**< member events in one Heartbeat */
    static constexpr std::size_t partNames = 64; /**< names in one PartRequest */
    static constexpr std::size_t partSize = 1024 * 1024; /**< bytes of one part */
    static constexpr std::size_t serverStates = 256; /**< entries in one ServerStates */
    static constexpr std::size_t flowKeys = 8192; /**< keys in one FlowExceptionBatch */
    static constexpr std::size_t reportedInstances = 32; /**< instances in one GenerationReport */
    static constexpr std::size_t statuses = 64; /**< failure domains in one StatusReply */
    static constexpr std::size_t statusInstances = 64; /**< instances in each status of a StatusReply */
    static constexpr std::size_t events = 256; /**< events in one EventsReply */
    static constexpr std::size_t eventFields = 16; /**< fields of one event */
    static constexpr std::size_t eventText = 256; /**< bytes of one event field value */
    static constexpr std::size_t domains = 64; /**< failure domains in one Heartbeat, and in the tables that messages fill */
};

/** Gossip about a member: its values as the sender knows them. */
using MemberEvent = Member::Fields;

/** First message that both sides of a connection send. */
struct Hello {
    static constexpr std::uint32_t currentVersion = 1;

    std::uint32_t protocolVersion = currentVersion;
    std::string instanceId; /**< id of the sender; empty for the operators' client */
    std::uint64_t incarnation = 0;
    std::string failureDomain;
    std::string deployment;
    std::uint64_t heldGeneration = 0;
    Endpoint peerAddress; /**< lets the receiver add the sender to its view before the instance list contains it */
    Endpoint dataAddress;

    friend bool operator==(const Hello &, const Hello &) = default;
};

/** Rollout progress of a failure domain. Its root watcher publishes it, and heartbeats propagate it. */
struct DomainProgress {
    std::string failureDomain;
    std::uint64_t prepared = 0; /**< lowest generation that its live instances are prepared for; 0 while a report is missing */
    std::uint64_t active = 0; /**< lowest generation in force on its live instances; 0 while a report is missing */
    std::uint64_t reportedAtMs = 0; /**< wall time at the watcher in milliseconds; a newer value replaces an older one */

    friend bool operator==(const DomainProgress &, const DomainProgress &) = default;
};

/** Liveness and progress message that an instance sends over each link every 500 ms, and after a progress change. */
struct Heartbeat {
    std::uint64_t incarnation = 0;
    std::uint64_t held = 0; /**< highest complete generation on the sender */
    std::uint64_t prepared = 0; /**< highest generation for which the sender has handed over all flow exceptions */
    std::uint64_t active = 0; /**< generation that the data path of the sender uses for new work */
    std::uint64_t platformContactAgeMs = 0; /**< time since the latest platform contact of any instance that the sender knows of */
    std::vector<MemberEvent> events; /**< changes of members; ControlPlane leaves it empty and sends MemberEvents instead */
    std::vector<DomainProgress> progress; /**< changes since the last heartbeat; every 5 s all failure domains */

    friend bool operator==(const Heartbeat &, const Heartbeat &) = default;
};

/** Announces the generation that the sender holds. */
struct Announce {
    HeadPointer head;

    friend bool operator==(const Announce &left, const Announce &right)
    {
        return left.head == right.head;
    }
};

/** Requests parts by name. */
struct PartRequest {
    std::vector<ContentName> names;

    friend bool operator==(const PartRequest &, const PartRequest &) = default;
};

/** Carries one part. The content is empty if the sender does not hold the part. */
struct PartReply {
    ContentName name;
    std::string content;

    friend bool operator==(const PartReply &, const PartReply &) = default;
};

/** Carries changes of members. Each instance forwards those that are new to it. */
struct MemberEvents {
    std::vector<MemberEvent> events;

    friend bool operator==(const MemberEvents &, const MemberEvents &) = default;
};

/** A change of the health of a backend server. */
struct ServerHealthChange {
    std::string pool;
    std::string server;
    bool healthy = true;
    HybridTime at; /**< when the prober detected the change; the latest change supersedes earlier ones */

    friend bool operator==(const ServerHealthChange &, const ServerHealthChange &) = default;
};

/** Carries health changes of backend servers. Each instance forwards those that are new to it. */
struct ServerStates {
    std::vector<ServerHealthChange> states;

    friend bool operator==(const ServerStates &, const ServerStates &) = default;
};

/** Carries the keys of flows that stay on the previous backend server of their bucket. */
struct FlowExceptionBatch {
    std::string service;
    std::uint64_t generation = 0;
    std::vector<std::uint64_t> keys;
    Endpoint server; /**< address of the backend server that has the flows */
    std::string failureDomain; /**< failure domain of that server */
    std::uint64_t sequence = 0; /**< chosen by the sender, for FlowExceptionAck */

    friend bool operator==(const FlowExceptionBatch &, const FlowExceptionBatch &) = default;
};

/** Acknowledges a FlowExceptionBatch, once the receiver has stored it. */
struct FlowExceptionAck {
    std::uint64_t sequence = 0;

    friend bool operator==(const FlowExceptionAck &, const FlowExceptionAck &) = default;
};

/** Requests the status of all failure domains that the instance knows. */
struct StatusQuery {
    friend bool operator==(const StatusQuery &, const StatusQuery &) = default;
};

/** Reply to StatusQuery. The root watcher of a failure domain also sends its status to its peers without a query. */
struct StatusReply {
    std::vector<DomainStatus> statuses;

    friend bool operator==(const StatusReply &, const StatusReply &) = default;
};

/** Requests events after a sequence number. */
struct EventsQuery {
    std::uint64_t afterSequence = 0;

    friend bool operator==(const EventsQuery &, const EventsQuery &) = default;
};

/** Reply to EventsQuery. */
struct EventsReply {
    std::vector<Event> events; /**< sorted by sequence */

    friend bool operator==(const EventsReply &, const EventsReply &) = default;
};

/** Requests a graceful stop of the instance. */
struct DrainRequest {
    friend bool operator==(const DrainRequest &, const DrainRequest &) = default;
};

/** Reply to DrainRequest. */
struct DrainReply {
    bool accepted = false; /**< false if the instance is already leaving */

    friend bool operator==(const DrainReply &, const DrainReply &) = default;
};

/** Rollout progress of a subtree of the aggregation tree of a failure domain, sent to the parent. */
struct GenerationReport {
    std::uint64_t lowestPrepared = 0;
    std::uint64_t lowestActive = 0;
    std::uint64_t highestHeld = 0;
    std::uint32_t count = 0; /**< instances of the subtree, including the sender */
    std::vector<InstanceStatus> instances; /**< all instances in a small failure domain, else at most 8 that lag most */

    friend bool operator==(const GenerationReport &, const GenerationReport &) = default;
};

/** Any message. The position in the list, counted from 1, is the message type on the wire, so new types must be added at the end. */
using Message = std::variant<Hello, Heartbeat, Announce, PartRequest, PartReply, MemberEvents, ServerStates, FlowExceptionBatch,
    StatusQuery, StatusReply, EventsQuery, EventsReply, DrainRequest, DrainReply, GenerationReport, FlowExceptionAck>;

/** A message with the hybrid time at which it was sent. */
struct Envelope {
    HybridTime at;
    Message message;

    friend bool operator==(const Envelope &, const Envelope &) = default;
};

/** Returns the lower-case name of the message type at @p index in Message. The names are metric labels and never change. */
std::string_view messageTypeName(std::size_t index);

} // namespace Samphirepitch
