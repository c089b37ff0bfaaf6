#include "stream/gossipcodec.h"

#include "evacuation/evacuationview.h"
#include "peer/internal/fieldreader.h"
#include "peer/internal/fieldwriter.h"
#include "stream/internal/gossipwire.h"
#include "stream/streamlimits.h"

#include <algorithm>
#include <bit>
#include <limits>
#include <map>

namespace Samphirepitch
{

using namespace GossipWire;

namespace
{

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
        } else if (server.number > 0 && server.startedAt > 0) {
            change.listed = fromWire(server, era, time);
        } else {
            continue; // an earlier build took an entry for a server that shows neither which one it is nor which start
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
        toWire(state.evacuations, state.view, time), {}, {} };
    for (const auto &[address, route] : state.configuration.routes) {
        wire.routes.push_back(toWire(route));
    }
    if (!state.configuration.services.empty()) {
        wire.services.emplace();
    }
    if (state.configuration.hasUnreadableRoutes) {
        wire.unreadable = WireUnreadable { true };
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
    state.configuration.hasUnreadableRoutes = wire->unreadable.value_or(WireUnreadable()).routes;
    for (const WireService &service : wire->services.value_or(WireServices()).list) {
        state.configuration.services.emplace(service.name, ServiceLimits { coldLimitFromBits(service.coldFlowsPerSecond) });
    }
    return result;
}

} // namespace Samphirepitch
