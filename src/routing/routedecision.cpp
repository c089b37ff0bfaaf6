#include "routing/routedecision.h"

namespace Samphirepitch
{

std::string_view refusalName(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::None:
        return "none";
    case RefusalReason::NoServer:
        return "no_server";
    case RefusalReason::FlowTableFull:
        return "flow_table_full";
    case RefusalReason::PlacementUnknown:
        return "placement_unknown";
    case RefusalReason::TooManyHops:
        return "too_many_hops";
    case RefusalReason::ViewExpired:
        return "view_lapsed";
    case RefusalReason::OwnershipMoving:
        return "ownership_moving";
    case RefusalReason::QueueFull:
        return "queue_full";
    case RefusalReason::DeadlineTooShort:
        return "deadline_too_short";
    case RefusalReason::DeadlinePassed:
        return "deadline_passed";
    case RefusalReason::RequestTableFull:
        return "request_table_full";
    case RefusalReason::MemoryFull:
        return "memory_full";
    }
    return "unknown_reason";
}

RouteDecision RouteDecision::send(ServerIndex server)
{
    return { RouteAction::Send, server, nullptr, RefusalReason::None };
}

RouteDecision RouteDecision::forward(const Member *instance)
{
    return { RouteAction::Forward, noServer, instance, RefusalReason::None };
}

RouteDecision RouteDecision::refuse(RefusalReason reason)
{
    return { RouteAction::Refuse, noServer, nullptr, reason };
}

} // namespace Samphirepitch
