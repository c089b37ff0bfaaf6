#pragma once

#include "control/commandcontext.h"
#include "core/endpoint.h"
#include "core/error.h"

#include <asio/awaitable.hpp>

#include <string>
#include <vector>

namespace Samphirepitch
{

/** An instance that a command asks directly. */
struct TargetInstance {
    std::string id; /**< id, or the address if only that is known */
    Endpoint address;
};

/**
 * Finds instances by id in the platform's list; words of the form IP:PORT need no list, so that they work during an outage.
 * @param words ids or peer addresses; empty for all listed instances
 * @return the instances, or NotFound if the list has no such id
 */
asio::awaitable<Result<std::vector<TargetInstance>>> findInstances(CommandContext &context, std::vector<std::string> operands);

} // namespace Samphirepitch
