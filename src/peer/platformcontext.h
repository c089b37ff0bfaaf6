#pragma once

#include "core/clock.h"

#include <chrono>

namespace Samphirepitch
{

class EventSink;
class Platform;
class PlatformTaskHandler;
class RandomSource;

/** Objects that the tasks that call the platform share; all of them must outlive the tasks. */
struct PlatformContext {
    Platform &platform;
    PlatformTaskHandler &handler;
    const Clock &clock;
    RandomSource &random;
    EventSink &events;

    static constexpr std::chrono::milliseconds callTimeout { 2000 }; /**< of one read or write */
    static constexpr std::chrono::milliseconds pollInterval { 250 }; /**< between two checks whether a task has something to do */
};

} // namespace Samphirepitch
