#include "lib/program.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>

#include <csignal>
#include <iostream>

namespace Samphirepitch::StandIn
{

Result<std::vector<Endpoint>> parseEndpoints(std::string_view text)
{
    std::vector<Endpoint> endpoints;
    while (!text.empty()) {
        const std::string_view entry = text.substr(0, text.find(','));
        text.remove_prefix(entry.size() < text.size() ? entry.size() + 1 : entry.size());
        if (entry.empty()) {
            continue;
        }
        const auto endpoint = Endpoint::parse(entry);
        if (!endpoint) {
            return tl::unexpected(endpoint.error());
        }
        endpoints.push_back(*endpoint);
    }
    return endpoints;
}

void runUntilSignal(asio::io_context &context)
{
    asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&context](const std::error_code &, int) { context.stop(); });
    context.run();
}

int reportStartFailure(const Error &error)
{
    std::cerr << "event=start_failed kind=" << errorKindName(error.kind()) << " subject=\"" << error.subject() << "\" detail=\""
              << error.detail() << "\"" << std::endl;
    return 2;
}

} // namespace Samphirepitch::StandIn
