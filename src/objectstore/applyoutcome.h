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

/** The result of publishing a change. */
enum class ApplyStatus {
    Accepted, /**< The change was published as a generation. */
    Unchanged, /**< The current generation already has the same objects; nothing was written. */
    Conflict, /**< Another change was accepted first; this one has no effect. */
    NotAccepted, /**< The change has not been accepted and has no effect. */
    Unknown, /**< The change may have been accepted; Publisher::findChange() tells later. */
};

/** Returns the name of @p status as written in JSON. */
std::string_view applyStatusName(ApplyStatus status);

/** The outcome of Publisher::apply(). */
struct ApplyOutcome {
    ApplyStatus status = ApplyStatus::NotAccepted;
    std::string changeId; /**< id of the requested change */
    std::uint64_t generation = 0; /**< for Accepted and Unchanged: the generation with the requested objects; otherwise 0 */
    std::optional<HeadRecord> winner; /**< for Conflict: the change that was accepted first */
    std::optional<Error> error; /**< for NotAccepted and Unknown: the cause */
    std::vector<Finding> findings; /**< findings about the requested set; its errors prevent publication */
};

} // namespace Samphirepitch
