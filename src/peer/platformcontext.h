#pragma once

#include "core/clock.h"

#include <chrono>

namespace Samphirepitch
{

class EventSink;
class Platform;
class PlatformTaskHandler;
class RandomSource;

/** What the tasks that call the platform share; everything outlives them. */
struct PlatformContext {
    Platform &platform;
    PlatformTaskHandler &handler;
    const Clock &clock;
    RandomSource &random;
    EventSink &events;

    static constexpr std::chrono::milliseconds callTimeout { 2000 }; /**< of a read or write */
    static constexpr std::chrono::milliseconds pollInterval { 250 }; /**< of the duty, while there is nothing to do */
};

} // namespace Samphirepitch
