#pragma once

#include "control/commandcontext.h"
#include "core/endpoint.h"
#include "core/error.h"

#include <asio/awaitable.hpp>

#include <string>
#include <vector>

namespace Samphirepitch
{

/** An instance that a command sends requests to. */
struct TargetInstance {
    std::string id; /**< instance id; the address as text if the id is unknown */
    Endpoint address;
};

/**
 * Finds the addresses of instances. Instance ids are looked up in the platform's instance list. Operands of the form IP:PORT are used
 * as they are, so that they work during an outage of the platform.
 * @param context context of the command; its platform must be set unless all operands are addresses
 * @param operands instance ids or peer addresses; empty for all listed instances
 * @return the instances; NotFound if an id is not in the list; or the error of reading the list
 */
asio::awaitable<Result<std::vector<TargetInstance>>> findInstances(CommandContext &context, std::vector<std::string> operands);

} // namespace Samphirepitch
