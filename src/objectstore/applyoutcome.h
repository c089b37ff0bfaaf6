#pragma once

#include "core/error.h"
#include "model/finding.h"
#include "model/headrecord.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Samphirepitch
{

/** What became of a change. */
enum class ApplyStatus {
    Accepted, /**< The change is the content of a generation. */
    Unchanged, /**< The current generation already has this content; nothing was written. */
    Conflict, /**< Another change was accepted first; nothing of this one is in force. */
    NotAccepted, /**< The change was certainly not accepted. */
    Unknown, /**< The change may have been accepted; ask later by its change id. */
};

/** Returns the stable lower-case name of @p status, as used in JSON. */
std::string_view applyStatusName(ApplyStatus status);

/** The outcome of Publisher::apply(). */
struct ApplyOutcome {
    ApplyStatus status = ApplyStatus::NotAccepted;
    std::string changeId; /**< the change that was asked for */
    std::uint64_t generation = 0; /**< of Accepted and Unchanged: the generation with this content */
    std::optional<HeadRecord> winner; /**< of Conflict: the change that was accepted first */
    std::optional<Error> error; /**< of NotAccepted and Unknown: why */
    std::vector<Finding> findings; /**< warnings, or the errors because of which nothing was published */
};

} // namespace Samphirepitch
