#pragma once

namespace Samphirepitch
{

/** The exit codes of samphirepitchd. */
enum class DaemonExit {
    Done = 0, /**< A graceful stop that finished all pending requests. */
    Failed = 1, /**< A part of the instance failed. */
    WrongUsage = 2, /**< The command line or the settings are wrong. */
    StopDeadline = 3, /**< A graceful stop that ended at its deadline. */
    Interrupted = 4, /**< Ended by a second signal. */
};

} // namespace Samphirepitch
