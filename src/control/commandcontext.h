#pragma once

#include "core/clock.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace Samphirepitch
{

class InstanceApi;
class Platform;
class RandomSource;
class Renderer;
class Timer;

/** The flags that commands use. */
struct CommandOptions {
    bool wait = false; /**< apply: wait until the change is in force everywhere */
    std::chrono::milliseconds timeout { 15000 }; /**< becomes the deadline of the command */
    std::optional<std::uint64_t> expectedGeneration; /**< apply: generation that the change is based on */
    std::string changeId; /**< apply, history: id of a change; empty to make one */
    std::string author; /**< apply, drain: recorded with the change */
    std::size_t count = 20; /**< history, events: the newest ones to show */
    std::string deployment; /**< events, drain-instance, status of an instance: deployment that the instances belong to */
};

/** What a command works with. All objects outlive the command. */
struct CommandContext {
    Platform *platform = nullptr; /**< null only for commands that do not need it */
    InstanceApi &instances;
    const Clock &clock;
    Timer &timer;
    RandomSource &random;
    Renderer &renderer;
    CommandOptions options;
    TimePoint deadline; /**< of the whole command */
};

} // namespace Samphirepitch
