#pragma once

#include "routing/serverregistry.h"

#include <string_view>

namespace Samphirepitch
{

class Member;

/** What the instance does with a packet. */
enum class RouteAction {
    Send, /**< Sends it to a backend server. */
    Forward, /**< Forwards it to another instance, which decides about it. */
    Refuse, /**< Drops it; it has not been sent to any backend server. */
};

/** Why a packet or a request was refused before it was sent to a backend server. */
enum class RefusalReason {
    None, /**< The packet or request was not refused. */
    NoServer, /**< No backend server of the pool accepts new flows or requests. */
    FlowTableFull, /**< The flow table of the instance is full. */
    PlacementUnknown, /**< The bucket was moved, and neither its owner nor its successor can be reached. */
    TooManyHops, /**< The packet was forwarded too often, because the instances disagree about its owner. */
    ViewExpired, /**< The member view of the instance is too old to decide. */
    OwnershipMoving, /**< The owner of the request is changing; the request was not sent. */
    QueueFull, /**< The queue of the service is as long as the policy allows. */
    DeadlineTooShort, /**< The request can't be started before its deadline. */
    DeadlinePassed, /**< The deadline had passed when the request arrived. */
    RequestTableFull, /**< The table of pending requests of the instance is full. */
    MemoryFull, /**< The outcome store of the owner is full. */
};

/** Returns the stable lower-case name of @p reason that is sent to callers. */
std::string_view refusalName(RefusalReason reason);

/** The routing decision about one packet. */
struct RouteDecision {
    RouteAction action = RouteAction::Refuse;
    ServerIndex server = noServer; /**< target of Send; noServer otherwise */
    const Member *instance = nullptr; /**< target of Forward, valid until the next change of the member view; null otherwise */
    RefusalReason reason = RefusalReason::None; /**< reason of Refuse; None otherwise */

    static RouteDecision send(ServerIndex server);
    static RouteDecision forward(const Member *instance);
    static RouteDecision refuse(RefusalReason reason);
};

} // namespace Samphirepitch
