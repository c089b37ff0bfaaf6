#include "lib/platformstandin.h"
#include "lib/program.h"
#include "objectstore/httpserver.h"

#include <asio/io_context.hpp>
#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(address, "127.0.0.1:8500", "address of the HTTP object API and the admin path");
DEFINE_uint64(instance_lag_ms, 2000, "time in milliseconds until a change of an instance is visible in the list");
DEFINE_uint64(writes_per_second, 400, "writes above this rate are answered with 429");
DEFINE_uint64(reads_per_second, 2000, "reads, lists and watches above this rate are answered with 429");

using namespace Samphirepitch;

namespace
{

constexpr std::size_t maxConnections = 16384; // a connection for each watch and each instance of a large test deployment

int run()
{
    const auto address = Endpoint::parse(FLAGS_address);
    if (!address) {
        return StandIn::reportStartFailure(address.error());
    }
    asio::io_context context(1);
    const SteadyClock clock;
    StandIn::PlatformStandIn platform(context.get_executor(), clock);
    StandIn::PlatformFaults faults;
    faults.instanceLag = std::chrono::milliseconds(FLAGS_instance_lag_ms);
    faults.writesPerSecond = FLAGS_writes_per_second;
    faults.readsPerSecond = FLAGS_reads_per_second;
    platform.setFaults(faults);
    HttpLimits limits;
    limits.maxConnections = maxConnections;
    const auto server = HttpServer::listen(context.get_executor(), *address, platform, limits);
    if (!server) {
        return StandIn::reportStartFailure(server.error());
    }
    std::cout << "event=listening program=standin-platform address=" << (*server)->address().toString() << std::endl;
    StandIn::runUntilSignal(context);
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return run();
}
