#pragma once

namespace Samphirepitch
{

/** The exit codes of samphirepitchctl; scripts rely on the numbers. */
enum class CommandExit {
    Ok = 0, /**< The command is done, or there was nothing to do. */
    Refused = 1, /**< The configuration has errors, the input was refused, or an object does not exist. */
    Usage = 2, /**< The command line is invalid. */
    Conflict = 3, /**< Another change was accepted first. */
    Unavailable = 4, /**< The platform or an instance cannot be reached; the change is not accepted. */
    UnknownOutcome = 5, /**< The change may have been accepted. */
    WaitExpired = 6, /**< The change was accepted, but was not in force everywhere by the deadline of --wait. */
};

} // namespace Samphirepitch
