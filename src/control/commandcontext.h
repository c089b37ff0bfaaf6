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

/** Values of the command-line flags that commands use. */
struct CommandOptions {
    bool wait = false; /**< apply, drain, undrain: wait until the change is in force everywhere */
    std::chrono::milliseconds timeout { 15000 }; /**< time from the start of the command to its deadline */
    std::optional<std::uint64_t> expectedGeneration; /**< apply: generation that the change is based on; unset for the current one */
    std::string changeId; /**< apply, drain, undrain: id of the change, random if empty; history: id of the change to find, empty for all */
    std::string author; /**< apply, drain, undrain: author recorded with the change */
    std::size_t count = 20; /**< history, events: maximum number of entries; the newest are shown */
    std::string deployment; /**< events, drain-instance, status of an instance: deployment of the instances */
};

/** Dependencies and options of a command. All objects must outlive the command. */
struct CommandContext {
    Platform *platform = nullptr; /**< may be null for commands that do not need it */
    InstanceApi &instances;
    const Clock &clock;
    Timer &timer;
    RandomSource &random;
    Renderer &renderer;
    CommandOptions options;
    TimePoint deadline; /**< deadline of the whole command */
};

} // namespace Samphirepitch
