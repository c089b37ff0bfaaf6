#pragma once

namespace Samphirepitch
{

/** The exit codes of samphirepitchctl; scripts rely on the numbers. */
enum class CommandExit {
    Ok = 0, /**< Done, or nothing to do. */
    Refused = 1, /**< Findings, a refused input, or a thing that does not exist. */
    Usage = 2, /**< The command line is wrong. */
    Conflict = 3, /**< Another change was accepted first. */
    Unavailable = 4, /**< The platform or an instance cannot be reached; the change is not accepted. */
    UnknownOutcome = 5, /**< The change may have been accepted. */
    WaitExpired = 6, /**< Accepted, but not in force everywhere by the deadline of --wait. */
};

} // namespace Samphirepitch
