#pragma once

#include "core/endpoint.h"

#include <string>
#include <string_view>
#include <vector>

namespace asio
{
class io_context;
}

namespace Samphirepitch::StandIn
{

/**
 * Parses a comma-separated list of addresses.
 * @param text "ip:port,ip:port"; empty entries are skipped
 * @return the addresses; Malformed if an entry is no address
 */
Result<std::vector<Endpoint>> parseEndpoints(std::string_view text);

/** Runs @p context until the process receives SIGINT or SIGTERM. */
void runUntilSignal(asio::io_context &context);

/** Prints why a program could not start, as one key=value line on standard error. @return the exit code of the program */
int reportStartFailure(const Error &error);

} // namespace Samphirepitch::StandIn
