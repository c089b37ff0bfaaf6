#pragma once

#include "evacuation/evacuationview.h"
#include "stream/gossipcodec.h"
#include "stream/streamlimits.h"

#include <algorithm>
#include <bit>
#include <limits>
#include <map>

namespace Samphirepitch
{

/** The encoded forms of what instances tell each other. The functions visitFields() are found in the namespaces of the types. */
namespace GossipWire
{

using StreamLimits::maxNameSize;
constexpr std::uint64_t maxIdleTimeout = std::chrono::milliseconds(StreamLimits::maxIdleTimeout).count();
constexpr std::uint64_t maxTimeLimit = std::chrono::milliseconds(StreamLimits::maxTimeLimit).count();
constexpr std::size_t maxDepth = 8; // levels of nested arrays
constexpr std::uint64_t neverConfirmed = 0xffffffff; // the age, in milliseconds, that stands for a view that was never confirmed

constexpr auto eachRecord = [](auto &visitor, auto &value) { visitor.nested(value); };

} // namespace GossipWire

template<typename Visitor, MaybeConst<PeerRecord> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor.text(value.id, StreamLimits::maxNameSize);
    visitor.text(value.failureDomain, StreamLimits::maxNameSize);
    visitor.endpoint(value.address);
    visitor.number(value.startedAt);
    visitor.number(value.heartbeat);
    visitor.boolean(value.storeReachable);
}

template<typename Visitor, MaybeConst<EndedServer> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor.text(value.id, StreamLimits::maxNameSize);
    visitor.number(value.startedAt);
}

template<typename Visitor, MaybeConst<RouteTarget> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor.text(value.service, StreamLimits::maxNameSize);
    visitor.number(value.weight);
}

namespace GossipWire
{

/** Converts points in time to the milliseconds that are sent, and back. */
class WireTime
{
public:
    explicit WireTime(TimePoint now)
        : m_now(now)
    {
    }

    /** Returns the age of @p time in milliseconds, or neverConfirmed. */
    std::uint64_t age(TimePoint time) const
    {
        return time == TimePoint() ? neverConfirmed : milliseconds(m_now - time);
    }

    TimePoint fromAge(std::uint64_t age) const
    {
        return age == neverConfirmed ? TimePoint() : m_now - bounded(age);
    }

    /** Returns the milliseconds until @p time; 0 if it has passed. */
    std::uint64_t remaining(TimePoint time) const
    {
        return milliseconds(time - m_now);
    }

    TimePoint fromRemaining(std::uint64_t remaining) const
    {
        return remaining == 0 ? TimePoint() : m_now + bounded(remaining);
    }

private:
    static std::uint64_t milliseconds(std::chrono::nanoseconds time)
    {
        const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
        return static_cast<std::uint64_t>(std::clamp<std::int64_t>(count, 0, static_cast<std::int64_t>(neverConfirmed) - 1));
    }

    /** Returns a received time, bounded to what is ever sent, so that it can be added to a point in time. */
    static std::chrono::milliseconds bounded(std::uint64_t count)
    {
        return std::chrono::milliseconds(std::min(count, neverConfirmed - 1));
    }

    TimePoint m_now;
};

/** The encoded form of a ViewStatus. Ages are in milliseconds. */
struct WireView {
    std::uint64_t serversEra = 0;
    std::uint64_t serversRevision = 0;
    std::uint64_t configurationVersion = 0;
    std::uint64_t configurationEra = 0;
    std::uint64_t configurationRevision = 0;
    std::uint64_t configurationCheckedEra = 0;
    std::uint64_t configurationCheckedRevision = 0;
    std::uint64_t serversAge = neverConfirmed;
    std::uint64_t configurationAge = neverConfirmed;
};

/** The encoded form of a ServerUpdate, whose era is that of the view. An empty service means that the server's entry was removed. */
struct WireServer {
    std::string id;
    std::uint64_t number = 0;
    std::string service;
    Endpoint address;
    std::string failureDomain;
    std::uint32_t slots = 0;
    ServerPhase phase = ServerPhase::Ready;
    std::uint64_t coldRemaining = 0; /**< milliseconds until the server reaches its normal speed */
    std::uint64_t startedAt = 0;
    std::uint64_t revision = 0;
};

/** How urgent the requests of a route are. Times are in milliseconds; 0 stands for an unknown one. */
struct WireUrgency {
    std::uint64_t priorityPlusOne = 0; /**< 0 if the priority is unknown */
    std::uint64_t timeLimit = 0;
    std::uint64_t targetLatency = 0;
};

/** The encoded form of a StreamRoute. */
struct WireRoute {
    std::string name;
    Endpoint address;
    bool idempotent = false;
    std::vector<RouteTarget> targets;
    std::optional<WireUrgency> urgency; /**< not set if nothing of it is known */
};

/** The encoded form of the limits of a service. */
struct WireService {
    std::string name;
    std::uint64_t coldFlowsPerSecond = 0; /**< the bits of the double */
};

/** The limits of all services that have some. */
struct WireServices {
    std::vector<WireService> list;
};

/** What of a configuration could not be read. */
struct WireUnreadable {
    bool routes = false;
};

/** The encoded form of an Evacuation. */
struct WireEvacuation {
    std::string domain;
    std::uint64_t era = 0;
    std::uint64_t revision = 0;
    std::uint64_t remaining = 0; /**< milliseconds until the evacuation ends; 0 if it doesn't end by itself */
};

/** The encoded form of an EvacuationSet and of the part of the view that it belongs to. */
struct WireEvacuations {
    std::uint64_t era = 0;
    std::uint64_t revision = 0;
    std::uint64_t age = neverConfirmed; /**< milliseconds */
    std::uint64_t eraBefore = 0;
    std::uint64_t revisionBefore = 0;
    std::uint64_t count = 0;
    std::vector<WireEvacuation> evacuations;
};

/** The encoded form of a PeerLoadReport, which has a compact format of its own. */
struct WireLoad {
    std::string report;
};

/** The encoded form of a GossipMessage. */
struct WireMessage {
    std::string deployment;
    PeerRecord sender;
    WireView view;
    bool pushed = false;
    std::uint64_t baseRevision = 0;
    std::vector<WireServer> changes;
    std::vector<EndedServer> ended;
    std::vector<PeerRecord> records;
    std::optional<WireEvacuations> evacuations; /**< not set if the sender knows none */
    std::optional<WireLoad> load; /**< not set if the sender sends none */
};

/** The encoded form of a PeerState. */
struct WireState {
    std::string deployment;
    PeerRecord sender;
    WireView view;
    std::uint64_t baseRevision = 0;
    std::vector<WireServer> changes;
    std::uint64_t version = 0; /**< of the configuration */
    std::uint64_t idleTimeout = 0; /**< milliseconds */
    std::vector<WireRoute> routes;
    std::vector<PeerRecord> records;
    std::optional<WireEvacuations> evacuations; /**< not set if the sender knows none */
    std::optional<WireServices> services; /**< with limits; not set if there are none */
    std::optional<WireUnreadable> unreadable; /**< not set if all of the configuration could be read */
};

template<typename Visitor, MaybeConst<WireView> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor.number(value.serversEra);
    visitor.number(value.serversRevision);
    visitor.number(value.configurationVersion);
    visitor.number(value.configurationEra);
    visitor.number(value.configurationRevision);
    visitor.number(value.configurationCheckedEra);
    visitor.number(value.configurationCheckedRevision);
    visitor.number(value.serversAge);
    visitor.number(value.configurationAge);
}

template<typename Visitor, MaybeConst<WireServer> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor.text(value.id, maxNameSize);
    visitor.number(value.number);
    visitor.text(value.service, maxNameSize);
    visitor.endpoint(value.address);
    visitor.text(value.failureDomain, maxNameSize);
    visitor.number(value.slots);
    visitor.enumeration(value.phase, ServerPhase::Draining);
    visitor.number(value.coldRemaining);
    visitor.number(value.startedAt);
    visitor.number(value.revision);
}

template<typename Visitor, MaybeConst<WireUrgency> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor.number(value.priorityPlusOne);
    visitor.number(value.timeLimit);
    visitor.number(value.targetLatency);
}

template<typename Visitor, MaybeConst<WireRoute> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor.text(value.name, maxNameSize);
    visitor.endpoint(value.address);
    visitor.boolean(value.idempotent);
    visitor.list(value.targets, StreamLimits::maxRouteTargets, eachRecord);
    visitor.trailing(value.urgency);
}

template<typename Visitor, MaybeConst<WireService> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor.text(value.name, maxNameSize);
    visitor.number(value.coldFlowsPerSecond);
}

template<typename Visitor, MaybeConst<WireServices> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor.list(value.list, GossipCodec::maxServices, eachRecord);
}

template<typename Visitor, MaybeConst<WireUnreadable> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor.boolean(value.routes);
}

template<typename Visitor, MaybeConst<WireEvacuation> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor.text(value.domain, maxNameSize);
    visitor.number(value.era);
    visitor.number(value.revision);
    visitor.number(value.remaining);
}

template<typename Visitor, MaybeConst<WireEvacuations> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor.number(value.era);
    visitor.number(value.revision);
    visitor.number(value.age);
    visitor.number(value.eraBefore);
    visitor.number(value.revisionBefore);
    visitor.number(value.count);
    visitor.list(value.evacuations, EvacuationView::maxEvacuations, eachRecord);
}

template<typename Visitor, MaybeConst<WireLoad> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor.bytes(value.report, PeerLoadReport::maxSize);
}

template<typename Visitor, MaybeConst<WireMessage> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor.text(value.deployment, maxNameSize);
    visitor.nested(value.sender);
    visitor.nested(value.view);
    visitor.boolean(value.pushed);
    visitor.number(value.baseRevision);
    visitor.list(value.changes, GossipCodec::maxChanges, eachRecord);
    visitor.list(value.ended, GossipCodec::maxChanges, eachRecord);
    visitor.list(value.records, GossipCodec::maxRecords, eachRecord);
    visitor.trailing(value.evacuations);
    visitor.trailing(value.load);
}

template<typename Visitor, MaybeConst<WireState> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor.text(value.deployment, maxNameSize);
    visitor.nested(value.sender);
    visitor.nested(value.view);
    visitor.number(value.baseRevision);
    visitor.list(value.changes, GossipCodec::maxServers, eachRecord);
    visitor.number(value.version);
    visitor.number(value.idleTimeout);
    visitor.list(value.routes, GossipCodec::maxRoutes, eachRecord);
    visitor.list(value.records, GossipCodec::maxInstances, eachRecord);
    visitor.trailing(value.evacuations);
    visitor.trailing(value.services);
    visitor.trailing(value.unreadable);
}

} // namespace GossipWire

} // namespace Samphirepitch
