#pragma once

namespace Samphirepitch
{

/** The exit codes of samphirepitchd. */
enum class DaemonExit {
    Done = 0, /**< A graceful stop that finished all pending requests. */
    Failed = 1, /**< The instance could not be created, or one of its tasks failed. */
    WrongUsage = 2, /**< The settings file is missing or invalid. */
    StopDeadline = 3, /**< A graceful stop that ended at its deadline. */
    Interrupted = 4, /**< A second stop signal ended the process at once. */
};

} // namespace Samphirepitch
