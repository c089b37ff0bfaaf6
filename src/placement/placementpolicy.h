#pragma once

#include "core/clock.h"
#include "stream/serverdirectory.h"
#include "stream/streamconfiguration.h"

#include <string>
#include <string_view>

namespace Samphirepitch
{

/** What is known of a new flow when its server is chosen. */
struct NewFlow {
    const StreamRoute *route = nullptr; /**< never null; valid during the call */
    std::string service; /**< the service that was drawn from the targets of the route */
};

/** Whether a server may get a new flow. */
enum class PlacementVerdict {
    Allowed,
    Forbidden, /**< The server must not get the flow, even if there is no other one. */
};

/**
 * A rule about the servers that may get a new flow. FlowPlacement asks an ordered list of policies about each candidate and leaves out the
 * servers that any of them forbids. A policy decides by what it knows; it never waits.
 */
class PlacementPolicy
{
public:
    virtual ~PlacementPolicy() = default;

    /** Returns the name of the policy as it appears in logs when it forbids a server. */
    virtual std::string_view name() const = 0;

    /** Returns whether @p server may get @p flow at the time @p now. */
    virtual PlacementVerdict judge(const DirectoryRecord &server, const NewFlow &flow, TimePoint now) const = 0;

    /**
     * Returns whether a server that the policy forbids gives its service no capacity at all. A policy that only limits what this instance
     * sends, while others may send to the server, returns false.
     */
    virtual bool limitsCapacity() const
    {
        return true;
    }

    /** Records that @p flow was placed on @p server. The default does nothing. */
    virtual void recordPlacement(const DirectoryRecord &server, const NewFlow &flow, TimePoint now)
    {
        static_cast<void>(server);
        static_cast<void>(flow);
        static_cast<void>(now);
    }
};

} // namespace Samphirepitch
