#pragma once

#include <cstddef>
#include <string_view>

namespace Samphirepitch
{

/** What a probe of a backend server found. */
enum class ProbeResult {
    Ok, /**< The server says that it takes work. */
    Draining, /**< The server says that it finishes its work. */
    Overloaded, /**< The server says that it sheds load. */
    Malformed, /**< The answer is not a health report. */
    Unanswered, /**< No answer came by the deadline. */
};

constexpr std::size_t probeResultCount = 5;

/** Returns the stable lower-case name of @p result, as used in metrics and events. */
std::string_view probeResultName(ProbeResult result);

/** Returns whether the server answered properly; a server that drains or sheds load is up. */
bool isGood(ProbeResult result);

} // namespace Samphirepitch
