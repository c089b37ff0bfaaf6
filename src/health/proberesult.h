#pragma once

#include <cstddef>
#include <string_view>

namespace Samphirepitch
{

/** The result of one probe of a backend server. */
enum class ProbeResult {
    Ok, /**< The server reports that it accepts work. */
    Draining, /**< The server reports that it accepts no new work and finishes its current work. */
    Overloaded, /**< The server reports that it sheds load. */
    Malformed, /**< The response is not a valid health report. */
    Unanswered, /**< No response arrived by the deadline. */
};

constexpr std::size_t probeResultCount = 5;

/** Returns the stable lower-case name of @p result, as used in metrics and events. */
std::string_view probeResultName(ProbeResult result);

/** Returns whether the response was a valid health report. A server that drains or sheds load counts as up. */
bool isSuccess(ProbeResult result);

} // namespace Samphirepitch
