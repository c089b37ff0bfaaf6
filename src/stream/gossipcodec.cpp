#include "stream/gossipcodec.h"

#include "evacuation/evacuationview.h"
#include "peer/internal/fieldreader.h"
#include "peer/internal/fieldwriter.h"
#include "stream/streamlimits.h"

#include <algorithm>
#include <bit>
#include <limits>
#include <map>

namespace Samphirepitch
{

namespace
{

using StreamLimits::maxNameSize;
constexpr std::uint64_t maxIdleTimeout = std::chrono::milliseconds(StreamLimits::maxIdleTimeout).count();
constexpr std::uint64_t maxTimeLimit = std::chrono::milliseconds(StreamLimits::maxTimeLimit).count();
constexpr std::size_t maxDepth = 8; // levels of nested arrays
constexpr std::uint64_t neverConfirmed = 0xffffffff; // the age, in milliseconds, that stands for a view that was never confirmed

constexpr auto eachRecord = [](auto &visitor, auto &value) { visitor.nested(value); };

} // namespace

// Argument-dependent lookup finds these functions only outside of the unnamed namespace, in the namespace of their types.

template<typename Visitor, MaybeConst<PeerRecord> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor.text(value.id, maxNameSize);
    visitor.text(value.failureDomain, maxNameSize);
    visitor.endpoint(value.address);
    visitor.number(value.startedAt);
    visitor.number(value.heartbeat);
    visitor.boolean(value.storeReachable);
}

template<typename Visitor, MaybeConst<EndedServer> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor.text(value.id, maxNameSize);
    visitor.number(value.startedAt);
}

template<typename Visitor, MaybeConst<RouteTarget> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor.text(value.service, maxNameSize);
    visitor.number(value.weight);
}

namespace
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
}

WireView toWire(const ViewStatus &view, const WireTime &time)
{
    return { .serversEra = view.serversPosition.era(),
        .serversRevision = view.serversPosition.revision(),
        .configurationVersion = view.configurationVersion,
        .configurationEra = view.configurationPosition.era(),
        .configurationRevision = view.configurationPosition.revision(),
        .configurationCheckedEra = view.configurationCheckedPosition.era(),
        .configurationCheckedRevision = view.configurationCheckedPosition.revision(),
        .serversAge = time.age(view.serversConfirmedAt),
        .configurationAge = time.age(view.configurationConfirmedAt) };
}

ViewStatus fromWire(const WireView &view, const WireTime &time)
{
    return { .serversPosition = { view.serversEra, view.serversRevision },
        .configurationVersion = view.configurationVersion,
        .configurationPosition = { view.configurationEra, view.configurationRevision },
        .configurationCheckedPosition = { view.configurationCheckedEra, view.configurationCheckedRevision },
        .serversConfirmedAt = time.fromAge(view.serversAge),
        .configurationConfirmedAt = time.fromAge(view.configurationAge) };
}

WireServer toWire(const StreamServer &server, const WireTime &time)
{
    return { server.id, server.number, server.service, server.address, server.failureDomain, server.slots, server.phase,
        time.remaining(server.coldUntil), static_cast<std::uint64_t>(server.startedAt), server.position.revision() };
}

StreamServer fromWire(const WireServer &server, std::uint64_t era, const WireTime &time)
{
    return { server.id, server.number, server.service, server.address, server.failureDomain, server.slots, server.phase,
        time.fromRemaining(server.coldRemaining), static_cast<std::int64_t>(server.startedAt), { era, server.revision } };
}

WireRoute toWire(const StreamRoute &route)
{
    WireRoute wire { route.name, route.address, route.idempotent, route.targets, {} };
    if (route.priority || route.timeLimit.count() > 0 || route.targetLatency.count() > 0) {
        wire.urgency = { route.priority ? std::uint64_t { *route.priority } + 1 : 0, static_cast<std::uint64_t>(route.timeLimit.count()),
            static_cast<std::uint64_t>(route.targetLatency.count()) };
    }
    return wire;
}

StreamRoute fromWire(const WireRoute &route)
{
    StreamRoute result { .name = route.name, .address = route.address, .targets = route.targets, .idempotent = route.idempotent };
    const WireUrgency urgency = route.urgency.value_or(WireUrgency());
    if (urgency.priorityPlusOne > 0 && urgency.priorityPlusOne <= std::uint64_t { StreamLimits::maxPriority } + 1) {
        result.priority = static_cast<std::uint32_t>(urgency.priorityPlusOne - 1);
    }
    result.timeLimit = std::chrono::milliseconds(std::min(urgency.timeLimit, maxTimeLimit));
    result.targetLatency = std::chrono::milliseconds(std::min(urgency.targetLatency, maxTimeLimit));
    return result;
}

/** Returns the limit that @p bits encode, or 0 if it is one that no instance sends. */
double coldLimitFromBits(std::uint64_t bits)
{
    static_assert(std::numeric_limits<double>::is_iec559, "the bits of a double mean the same on all machines");
    const auto limit = std::bit_cast<double>(bits);
    return limit >= 0 && limit <= StreamLimits::maxColdFlowsPerSecond ? limit : 0;
}

std::vector<WireServer> toWire(const std::vector<ServerUpdate> &changes, const WireTime &time)
{
    std::vector<WireServer> wire;
    for (const ServerUpdate &change : changes) {
        if (change.listed) {
            wire.push_back(toWire(*change.listed, time));
        } else if (change.unlisted) {
            wire.push_back({ .id = *change.unlisted, .revision = change.position.revision() });
        }
    }
    return wire;
}

std::vector<ServerUpdate> fromWire(const std::vector<WireServer> &wire, std::uint64_t era, const WireTime &time)
{
    std::vector<ServerUpdate> changes;
    for (const WireServer &server : wire) {
        ServerUpdate change;
        change.position = { era, server.revision };
        if (server.service.empty()) {
            change.unlisted = server.id;
        } else {
            change.listed = fromWire(server, era, time);
        }
        changes.push_back(std::move(change));
    }
    return changes;
}

std::optional<WireEvacuations> toWire(const EvacuationSet &set, const ViewStatus &view, const WireTime &time)
{
    if (view.evacuationsPosition.isUnset()) {
        return std::nullopt;
    }
    WireEvacuations wire { view.evacuationsPosition.era(), view.evacuationsPosition.revision(), time.age(view.evacuationsConfirmedAt),
        set.before.era(), set.before.revision(), set.count, {} };
    for (const Evacuation &evacuation : set.evacuations) {
        // At least 1 ms, because 0 stands for an evacuation that doesn't end by itself.
        const std::uint64_t remaining = evacuation.until == TimePoint() ? 0 : std::max<std::uint64_t>(time.remaining(evacuation.until), 1);
        wire.evacuations.push_back({ evacuation.domain, evacuation.position.era(), evacuation.position.revision(), remaining });
    }
    return wire;
}

/** Decodes evacuations, and completes the view that they belong to. */
EvacuationSet fromWire(const std::optional<WireEvacuations> &wire, const WireTime &time, ViewStatus &view)
{
    EvacuationSet set;
    if (!wire || StorePosition(wire->era, wire->revision).isUnset()) {
        return set;
    }
    view.evacuationsPosition = { wire->era, wire->revision };
    view.evacuationsConfirmedAt = time.fromAge(wire->age);
    set.before = { wire->eraBefore, wire->revisionBefore };
    set.count = wire->count;
    for (const WireEvacuation &evacuation : wire->evacuations) {
        set.evacuations.push_back({ evacuation.domain, { evacuation.era, evacuation.revision }, time.fromRemaining(evacuation.remaining) });
    }
    return set;
}

template<typename Message>
std::string pack(const Message &message)
{
    msgpack::sbuffer buffer;
    FieldWriter::Packer packer(buffer);
    FieldWriter(packer).nested(message);
    return std::string(buffer.data(), buffer.size());
}

/**
 * Decodes an encoded message or state.
 * @param maxElements limit for the elements of each array. For a message, its size in bytes is a safe limit, since each element takes at
 *  least one byte.
 */
template<typename Message>
Result<Message> unpack(std::string_view bytes, std::size_t maxElements)
{
    // The msgpack unpacker reports errors only by exceptions.
    try {
        const msgpack::unpack_limit limit(maxElements, 0, maxNameSize, PeerLoadReport::maxSize, 0, maxDepth);
        std::size_t offset = 0;
        const msgpack::object_handle handle = msgpack::unpack(bytes.data(), bytes.size(), offset, nullptr, nullptr, limit);
        if (offset != bytes.size() || handle->type != msgpack::type::ARRAY) {
            return failure(ErrorKind::Malformed, "peer", "the message is not a single msgpack array");
        }
        std::optional<ErrorKind> fault;
        FieldReader reader(handle->via.array, fault);
        Message message;
        visitFields(reader, message);
        reader.finish();
        if (fault) {
            return failure(*fault, "peer", "a field of the message is missing, has a wrong type or is above its limit");
        }
        return message;
    } catch (const msgpack::size_overflow &) {
        return failure(ErrorKind::TooLarge, "peer", "a field of the message is above its limit");
    } catch (const msgpack::unpack_error &) {
        return failure(ErrorKind::Malformed, "peer", "the message is not valid msgpack");
    }
}

} // namespace

std::string GossipCodec::encode(const GossipMessage &message, TimePoint now)
{
    const WireTime time(now);
    WireMessage wire { message.deployment, message.sender, toWire(message.view, time), message.pushed, message.baseRevision, {},
        message.ended, message.records, toWire(message.evacuations, message.view, time), {} };
    if (!message.load.isEmpty()) {
        wire.load = WireLoad { message.load.encode() };
    }
    wire.changes = toWire(message.changes, time);
    std::string bytes = pack(wire);
    if (bytes.size() > maxMessageSize && wire.load) {
        wire.load.reset();
        bytes = pack(wire);
    }
    return bytes;
}

std::string GossipCodec::encode(const PeerState &state, TimePoint now)
{
    const WireTime time(now);
    WireState wire { state.deployment, state.sender, toWire(state.view, time), state.baseRevision, toWire(state.changes, time),
        state.configuration.version, static_cast<std::uint64_t>(state.configuration.idleTimeout.count()), {}, state.records,
        toWire(state.evacuations, state.view, time), {} };
    for (const auto &[address, route] : state.configuration.routes) {
        wire.routes.push_back(toWire(route));
    }
    if (!state.configuration.services.empty()) {
        wire.services.emplace();
    }
    for (const auto &[name, limits] : state.configuration.services) {
        wire.services->list.push_back({ name, std::bit_cast<std::uint64_t>(limits.coldFlowsPerSecond) });
    }
    return pack(wire);
}

Result<GossipMessage> GossipCodec::decodeMessage(std::string_view bytes, TimePoint now)
{
    const Result<WireMessage> wire = unpack<WireMessage>(bytes, maxMessageSize);
    if (!wire) {
        return tl::unexpected(wire.error());
    }
    const WireTime time(now);
    GossipMessage message { wire->deployment, wire->sender, fromWire(wire->view, time), wire->pushed, wire->baseRevision,
        fromWire(wire->changes, wire->view.serversEra, time), wire->ended, wire->records, {},
        wire->load ? PeerLoadReport::decode(wire->load->report, now) : PeerLoadReport() };
    message.evacuations = fromWire(wire->evacuations, time, message.view);
    return message;
}

Result<PeerState> GossipCodec::decodeState(std::string_view bytes, TimePoint now)
{
    const Result<WireState> wire = unpack<WireState>(bytes, maxServers);
    if (!wire) {
        return tl::unexpected(wire.error());
    }
    const WireTime time(now);
    Result<PeerState> result { PeerState() };
    PeerState &state = *result;
    state.deployment = wire->deployment;
    state.sender = wire->sender;
    state.view = fromWire(wire->view, time);
    state.baseRevision = wire->baseRevision;
    state.changes = fromWire(wire->changes, wire->view.serversEra, time);
    state.records = wire->records;
    state.evacuations = fromWire(wire->evacuations, time, state.view);
    state.configuration.version = wire->version;
    state.configuration.position = state.view.configurationPosition;
    state.configuration.idleTimeout = std::chrono::milliseconds(std::min(wire->idleTimeout, maxIdleTimeout));
    for (const WireRoute &route : wire->routes) {
        state.configuration.routes.emplace(route.address, fromWire(route));
    }
    for (const WireService &service : wire->services.value_or(WireServices()).list) {
        state.configuration.services.emplace(service.name, ServiceLimits { coldLimitFromBits(service.coldFlowsPerSecond) });
    }
    return result;
}

} // namespace Samphirepitch
