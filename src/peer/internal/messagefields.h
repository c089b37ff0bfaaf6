#pragma once

#include "peer/message.h"

#include <concepts>
#include <type_traits>

namespace Samphirepitch
{

/** Accepts @p Value and const @p Value, so that one list of fields serves both reading and writing. */
template<typename Type, typename Value>
concept MaybeConst = std::same_as<std::remove_const_t<Type>, Value>;

// Each visitFields() passes the fields of a value to the visitor in wire order. The visitor reads, writes or counts them.

template<typename Visitor, MaybeConst<HybridTime> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor.number(value.wallMs);
    visitor.number(value.counter);
}

template<typename Visitor, MaybeConst<Member::Fields> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor.text(value.id, MessageLimits::id);
    visitor.text(value.failureDomain, MessageLimits::id);
    visitor.endpoint(value.peerAddress);
    visitor.endpoint(value.dataAddress);
    visitor.number(value.incarnation);
    visitor.enumeration(value.state, MemberState::Dead);
}

template<typename Visitor, MaybeConst<DomainProgress> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor.text(value.failureDomain, MessageLimits::id);
    visitor.number(value.prepared);
    visitor.number(value.active);
    visitor.number(value.reportedAtMs);
}

template<typename Visitor, MaybeConst<InstanceStatus> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor.text(value.id, MessageLimits::id);
    visitor.enumeration(value.state, MemberState::Dead);
    visitor.number(value.held);
    visitor.number(value.inForce);
    visitor.number(value.lastHeardMs);
}

template<typename Visitor, MaybeConst<DomainStatus> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor.text(value.failureDomain, MessageLimits::id);
    visitor.text(value.writer, MessageLimits::id);
    visitor.number(value.writtenAtMs);
    visitor.number(value.highestHeld);
    visitor.number(value.lowestInForce);
    visitor.number(value.reported);
    visitor.number(value.expected);
    visitor.list(value.instances, MessageLimits::statusInstances, [](auto &each, auto &entry) { each.nested(entry); });
}

template<typename Visitor, MaybeConst<ServerHealthChange> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor.text(value.pool, MessageLimits::id);
    visitor.text(value.server, MessageLimits::id);
    visitor.boolean(value.healthy);
    visitor.nested(value.at);
}

template<typename Visitor, MaybeConst<EventField> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor.text(value.key, MessageLimits::id);
    visitor.text(value.value, MessageLimits::eventText);
}

template<typename Visitor, MaybeConst<Event> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor.text(value.instance, MessageLimits::id);
    visitor.number(value.sequence);
    visitor.nested(value.at);
    visitor.enumeration(value.severity, EventSeverity::Error);
    visitor.text(value.name, MessageLimits::id);
    visitor.list(value.fields, MessageLimits::eventFields, [](auto &each, auto &entry) { each.nested(entry); });
}

template<typename Visitor, MaybeConst<Hello> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor.number(value.protocolVersion);
    visitor.text(value.instanceId, MessageLimits::id);
    visitor.number(value.incarnation);
    visitor.text(value.failureDomain, MessageLimits::id);
    visitor.text(value.deployment, MessageLimits::id);
    visitor.number(value.heldGeneration);
    visitor.endpoint(value.peerAddress);
    visitor.endpoint(value.dataAddress);
}

template<typename Visitor, MaybeConst<Heartbeat> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor.number(value.incarnation);
    visitor.number(value.held);
    visitor.number(value.prepared);
    visitor.number(value.active);
    visitor.number(value.platformContactAgeMs);
    visitor.list(value.events, MessageLimits::heartbeatEvents, [](auto &each, auto &entry) { each.nested(entry); });
    visitor.list(value.progress, MessageLimits::domains, [](auto &each, auto &entry) { each.nested(entry); });
}

template<typename Visitor, MaybeConst<Announce> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor.number(value.head.generation);
    visitor.contentName(value.head.record);
}

template<typename Visitor, MaybeConst<PartRequest> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor.list(value.names, MessageLimits::partNames, [](auto &each, auto &entry) { each.contentName(entry); });
}

template<typename Visitor, MaybeConst<PartReply> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor.contentName(value.name);
    visitor.bytes(value.content, MessageLimits::partSize);
}

template<typename Visitor, MaybeConst<MemberEvents> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor.list(value.events, MessageLimits::memberEvents, [](auto &each, auto &entry) { each.nested(entry); });
}

template<typename Visitor, MaybeConst<ServerStates> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor.list(value.states, MessageLimits::serverStates, [](auto &each, auto &entry) { each.nested(entry); });
}

template<typename Visitor, MaybeConst<FlowExceptionBatch> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor.text(value.service, MessageLimits::id);
    visitor.number(value.generation);
    visitor.list(value.keys, MessageLimits::flowKeys, [](auto &each, auto &entry) { each.number(entry); });
    visitor.endpoint(value.server);
    visitor.text(value.failureDomain, MessageLimits::id);
    visitor.number(value.sequence);
}

template<typename Visitor, MaybeConst<FlowExceptionAck> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor.number(value.sequence);
}

template<typename Visitor, MaybeConst<StatusQuery> Value>
void visitFields(Visitor &, Value &)
{
}

template<typename Visitor, MaybeConst<StatusReply> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor.list(value.statuses, MessageLimits::statuses, [](auto &each, auto &entry) { each.nested(entry); });
}

template<typename Visitor, MaybeConst<EventsQuery> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor.number(value.afterSequence);
}

template<typename Visitor, MaybeConst<EventsReply> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor.list(value.events, MessageLimits::events, [](auto &each, auto &entry) { each.nested(entry); });
}

template<typename Visitor, MaybeConst<DrainRequest> Value>
void visitFields(Visitor &, Value &)
{
}

template<typename Visitor, MaybeConst<DrainReply> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor.boolean(value.accepted);
}

template<typename Visitor, MaybeConst<GenerationReport> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor.number(value.lowestPrepared);
    visitor.number(value.lowestActive);
    visitor.number(value.highestHeld);
    visitor.number(value.count);
    visitor.list(value.instances, MessageLimits::reportedInstances, [](auto &each, auto &entry) { each.nested(entry); });
}

} // namespace Samphirepitch
