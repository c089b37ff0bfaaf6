#include "health/proberesult.h"

#include <array>

namespace Samphirepitch
{

std::string_view probeResultName(ProbeResult result)
{
    static constexpr std::array<std::string_view, probeResultCount> names { "ok", "draining", "overloaded", "malformed", "unanswered" };
    return names.at(static_cast<std::size_t>(result));
}

bool isSuccess(ProbeResult result)
{
    return result != ProbeResult::Malformed && result != ProbeResult::Unanswered;
}

} // namespace Samphirepitch
