#pragma once

#include "routing/serverregistry.h"

#include <string_view>

namespace Samphirepitch
{

class Member;

/** What is done with a packet. */
enum class RouteAction {
    Send, /**< Send it to a backend server. */
    Forward, /**< Forward it to another instance, which decides. */
    Refuse, /**< Don't send it; it has not been sent. */
};

/** Why a packet or a request was refused before it was sent to a backend server. */
enum class RefusalReason {
    None,
    NoServer, /**< No backend server of the pool takes new work. */
    FlowTableFull, /**< The instance holds as many flows as it may. */
    PlacementUnknown, /**< The bucket was moved and neither its owner nor its successor can be reached. */
    TooManyHops, /**< The instances disagree about who decides. */
    ViewExpired, /**< The instance's view of the others is too old to decide. */
    OwnershipMoving, /**< The request's owner is changing; the request was not sent. */
    QueueFull, /**< As many requests wait as the policy allows. */
    DeadlineTooShort, /**< The request can't start before its deadline. */
    DeadlinePassed, /**< The deadline had passed when the request arrived. */
    RequestTableFull, /**< The instance has as many pending requests as it can hold. */
    MemoryFull, /**< The owner can't remember more request keys. */
};

/** Returns the stable lower-case name of @p reason, as sent to callers. */
std::string_view refusalName(RefusalReason reason);

/** The decision about one packet. */
struct RouteDecision {
    RouteAction action = RouteAction::Refuse;
    ServerIndex server = noServer; /**< with Send */
    const Member *instance = nullptr; /**< with Forward; valid until the next change of the member view */
    RefusalReason reason = RefusalReason::None; /**< with Refuse */

    static RouteDecision send(ServerIndex server);
    static RouteDecision forward(const Member *instance);
    static RouteDecision refuse(RefusalReason reason);
};

} // namespace Samphirepitch
