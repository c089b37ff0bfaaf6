#pragma once

#include <chrono>
#include <functional>
#include <string>

namespace Samphirepitch::Soak
{

/** What an operator does at one time, counted from the begin of the schedule. */
struct ScheduledStep {
    std::chrono::milliseconds at {};
    std::string description;
    std::function<void()> action;
};

} // namespace Samphirepitch::Soak
