#include "stream/peernews.h"

#include "peer/internal/fieldreader.h"
#include "peer/internal/fieldwriter.h"

#include <algorithm>
#include <map>

namespace Samphirepitch
{

namespace
{

constexpr std::size_t maxText = 256; // bytes of ids and names
constexpr std::size_t maxTargets = 64; // of one route
constexpr std::size_t maxDepth = 8; // levels of nesting
constexpr std::uint64_t never = 0xffffffff; // an age that was never confirmed, in milliseconds

constexpr auto eachRecord = [](auto &visitor, auto &value) { visitor.nested(value); };

} // namespace

// Argument-dependent lookup finds these only outside of the unnamed namespace.

template<typename Visitor, MaybeConst<PeerRecord> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor.text(value.id, maxText);
    visitor.text(value.failureDomain, maxText);
    visitor.endpoint(value.address);
    visitor.number(value.startedAt);
    visitor.number(value.heartbeat);
    visitor.boolean(value.storeReachable);
}

template<typename Visitor, MaybeConst<EndedServer> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor.text(value.id, maxText);
    visitor.number(value.startedAt);
}

template<typename Visitor, MaybeConst<RouteTarget> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor.text(value.service, maxText);
    visitor.number(value.weight);
}

template<typename Visitor, MaybeConst<StreamRoute> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor.text(value.name, maxText);
    visitor.endpoint(value.address);
    visitor.boolean(value.idempotent);
    visitor.list(value.targets, maxTargets, eachRecord);
}

namespace
{

/** Turns points in time into what crosses the wire, and back. */
class WireTime
{
public:
    explicit WireTime(TimePoint now)
        : m_now(now)
    {
    }

    std::uint64_t age(TimePoint time) const
    {
        return time == TimePoint() ? never : milliseconds(m_now - time);
    }

    TimePoint fromAge(std::uint64_t age) const
    {
        return age == never ? TimePoint() : m_now - std::chrono::milliseconds(age);
    }

    std::uint64_t remaining(TimePoint time) const
    {
        return milliseconds(time - m_now);
    }

    TimePoint fromRemaining(std::uint64_t remaining) const
    {
        return remaining == 0 ? TimePoint() : m_now + std::chrono::milliseconds(remaining);
    }

private:
    static std::uint64_t milliseconds(std::chrono::nanoseconds time)
    {
        const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
        return static_cast<std::uint64_t>(std::clamp<std::int64_t>(count, 0, static_cast<std::int64_t>(never) - 1));
    }

    TimePoint m_now;
};

/** The wire form of a ViewMark. */
struct WireView {
    std::uint64_t serversRevision = 0;
    std::uint64_t configurationRevision = 0;
    std::uint64_t configurationChecked = 0;
    std::uint64_t serversAge = never;
    std::uint64_t configurationAge = never;
};

/** The wire form of a server, or of its removal if the service is empty. */
struct WireServer {
    std::string id;
    std::uint64_t number = 0;
    std::string service;
    Endpoint address;
    std::string failureDomain;
    std::uint32_t slots = 0;
    ServerPhase phase = ServerPhase::Ready;
    std::uint64_t coldRemaining = 0;
    std::uint64_t startedAt = 0;
    std::uint64_t revision = 0;
};

struct WireNews {
    std::string deployment;
    PeerRecord sender;
    WireView view;
    bool pushed = false;
    std::uint64_t changesFrom = 0;
    std::vector<WireServer> changes;
    std::vector<EndedServer> ended;
    std::vector<PeerRecord> records;
};

struct WireState {
    std::string deployment;
    PeerRecord sender;
    WireView view;
    std::uint64_t changesFrom = 0;
    std::vector<WireServer> changes;
    std::uint64_t version = 0;
    std::uint64_t idleTimeout = 0;
    std::vector<StreamRoute> routes;
    std::vector<PeerRecord> records;
};

template<typename Visitor, MaybeConst<WireView> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor.number(value.serversRevision);
    visitor.number(value.configurationRevision);
    visitor.number(value.configurationChecked);
    visitor.number(value.serversAge);
    visitor.number(value.configurationAge);
}

template<typename Visitor, MaybeConst<WireServer> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor.text(value.id, maxText);
    visitor.number(value.number);
    visitor.text(value.service, maxText);
    visitor.endpoint(value.address);
    visitor.text(value.failureDomain, maxText);
    visitor.number(value.slots);
    visitor.enumeration(value.phase, ServerPhase::Draining);
    visitor.number(value.coldRemaining);
    visitor.number(value.startedAt);
    visitor.number(value.revision);
}

template<typename Visitor, MaybeConst<WireNews> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor.text(value.deployment, maxText);
    visitor.nested(value.sender);
    visitor.nested(value.view);
    visitor.boolean(value.pushed);
    visitor.number(value.changesFrom);
    visitor.list(value.changes, PeerNewsCodec::maxChanges, eachRecord);
    visitor.list(value.ended, PeerNewsCodec::maxChanges, eachRecord);
    visitor.list(value.records, PeerNewsCodec::maxRecords, eachRecord);
}

template<typename Visitor, MaybeConst<WireState> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor.text(value.deployment, maxText);
    visitor.nested(value.sender);
    visitor.nested(value.view);
    visitor.number(value.changesFrom);
    visitor.list(value.changes, PeerNewsCodec::maxServers, eachRecord);
    visitor.number(value.version);
    visitor.number(value.idleTimeout);
    visitor.list(value.routes, PeerNewsCodec::maxRoutes, eachRecord);
    visitor.list(value.records, PeerNewsCodec::maxMembers, eachRecord);
}

WireView toWire(const ViewMark &view, const WireTime &time)
{
    return { view.serversRevision, view.configurationRevision, view.configurationChecked, time.age(view.serversConfirmed),
        time.age(view.configurationConfirmed) };
}

ViewMark fromWire(const WireView &view, const WireTime &time)
{
    return { view.serversRevision, view.configurationRevision, view.configurationChecked, time.fromAge(view.serversAge),
        time.fromAge(view.configurationAge) };
}

WireServer toWire(const StreamServer &server, const WireTime &time)
{
    return { server.id, server.number, server.service, server.address, server.failureDomain, server.slots, server.phase,
        time.remaining(server.coldUntil), static_cast<std::uint64_t>(server.startedAt), server.revision };
}

StreamServer fromWire(const WireServer &server, const WireTime &time)
{
    return { server.id, server.number, server.service, server.address, server.failureDomain, server.slots, server.phase,
        time.fromRemaining(server.coldRemaining), static_cast<std::int64_t>(server.startedAt), server.revision };
}

std::vector<WireServer> toWire(const std::vector<ServerUpdate> &changes, const WireTime &time)
{
    std::vector<WireServer> wire;
    for (const ServerUpdate &change : changes) {
        if (change.listed) {
            wire.push_back(toWire(*change.listed, time));
        } else if (change.unlisted) {
            wire.push_back({ .id = *change.unlisted, .revision = change.revision });
        }
    }
    return wire;
}

std::vector<ServerUpdate> fromWire(const std::vector<WireServer> &wire, const WireTime &time)
{
    std::vector<ServerUpdate> changes;
    for (const WireServer &server : wire) {
        ServerUpdate change;
        change.revision = server.revision;
        if (server.service.empty()) {
            change.unlisted = server.id;
        } else {
            change.listed = fromWire(server, time);
        }
        changes.push_back(std::move(change));
    }
    return changes;
}

template<typename Message>
std::string pack(const Message &message)
{
    msgpack::sbuffer buffer;
    FieldWriter::Packer packer(buffer);
    FieldWriter(packer).nested(message);
    return std::string(buffer.data(), buffer.size());
}

template<typename Message>
Result<Message> unpack(std::string_view bytes, std::size_t maxElements)
{
    // The unpacker reports faults by exceptions only.
    try {
        const msgpack::unpack_limit limit(maxElements, 0, maxText, 0, 0, maxDepth);
        std::size_t offset = 0;
        const msgpack::object_handle handle = msgpack::unpack(bytes.data(), bytes.size(), offset, nullptr, nullptr, limit);
        if (offset != bytes.size() || handle->type != msgpack::type::ARRAY) {
            return failure(ErrorKind::Malformed, "peer", "not one array");
        }
        std::optional<ErrorKind> fault;
        FieldReader reader(handle->via.array, fault);
        Message message;
        visitFields(reader, message);
        reader.finish();
        if (fault) {
            return failure(*fault, "peer", "a field is missing, has a wrong type or is above its limit");
        }
        return message;
    } catch (const msgpack::size_overflow &) {
        return failure(ErrorKind::TooLarge, "peer", "a field is above its limit");
    } catch (const msgpack::unpack_error &) {
        return failure(ErrorKind::Malformed, "peer", "not msgpack");
    }
}

} // namespace

std::string PeerNewsCodec::encode(const PeerNews &news, TimePoint now)
{
    const WireTime time(now);
    WireNews wire { news.deployment, news.sender, toWire(news.view, time), news.pushed, news.changesFrom, {}, news.ended, news.records };
    wire.changes = toWire(news.changes, time);
    return pack(wire);
}

std::string PeerNewsCodec::encode(const PeerState &state, TimePoint now)
{
    const WireTime time(now);
    WireState wire { state.deployment, state.sender, toWire(state.view, time), state.changesFrom, toWire(state.changes, time),
        state.configuration.version, static_cast<std::uint64_t>(state.configuration.idleTimeout.count()), {}, state.records };
    for (const auto &[address, route] : state.configuration.routes) {
        wire.routes.push_back(route);
    }
    return pack(wire);
}

Result<PeerNews> PeerNewsCodec::decodeNews(std::string_view bytes, TimePoint now)
{
    const Result<WireNews> wire = unpack<WireNews>(bytes, maxNews);
    if (!wire) {
        return tl::unexpected(wire.error());
    }
    const WireTime time(now);
    return PeerNews { wire->deployment, wire->sender, fromWire(wire->view, time), wire->pushed, wire->changesFrom,
        fromWire(wire->changes, time), wire->ended, wire->records };
}

Result<PeerState> PeerNewsCodec::decodeState(std::string_view bytes, TimePoint now)
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
    state.changesFrom = wire->changesFrom;
    state.changes = fromWire(wire->changes, time);
    state.records = wire->records;
    state.configuration.version = wire->version;
    state.configuration.revision = wire->view.configurationRevision;
    state.configuration.idleTimeout = std::chrono::milliseconds(wire->idleTimeout);
    for (const StreamRoute &route : wire->routes) {
        if (route.targets.empty()) {
            return failure(ErrorKind::Malformed, "peer", "route " + route.name + " has no target");
        }
        state.configuration.routes.emplace(route.address, route);
    }
    return result;
}

} // namespace Samphirepitch
