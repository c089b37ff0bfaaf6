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

/** Reads a list "ip:port,ip:port"; empty entries are skipped. @return the addresses, or Malformed */
Result<std::vector<Endpoint>> parseEndpoints(std::string_view text);

/** Runs @p context until SIGINT or SIGTERM. */
void runUntilSignal(asio::io_context &context);

/** Prints an error as one key=value line to standard error. @return the exit code of a program that could not start */
int reportStartFailure(const Error &error);

} // namespace Samphirepitch::StandIn
