#include "lib/backendgroup.h"
#include "lib/program.h"

#include <asio/io_context.hpp>
#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(servers, "", "backend servers, NAME=ip:port=ip:port (datagram address, health address) separated by commas");
DEFINE_string(admin_address, "127.0.0.1:8502", "address of the HTTP admin path");
DEFINE_uint32(slots, 2, "requests that a server runs at a time");
DEFINE_uint32(queue_limit, 16, "requests that wait at a server; further ones are shed");
DEFINE_uint32(work_us, 2000, "service time of a request that names none, in microseconds");
DEFINE_uint32(cold_start_ms, 0, "time after the start in which requests take cold_factor times as long");
DEFINE_uint32(cold_factor, 5, "factor of the service time during a cold start");
DEFINE_uint64(seed, 1, "seed of the faults");

using namespace Samphirepitch;

namespace
{

StandIn::BackendStandIn::Options defaults()
{
    StandIn::BackendStandIn::Options options;
    options.slots = FLAGS_slots;
    options.queueLimit = FLAGS_queue_limit;
    options.work = std::chrono::microseconds(FLAGS_work_us);
    options.coldStart = std::chrono::milliseconds(FLAGS_cold_start_ms);
    options.coldFactor = FLAGS_cold_factor;
    options.seed = FLAGS_seed;
    return options;
}

int run()
{
    const auto members = StandIn::BackendGroup::parseMembers(FLAGS_servers, defaults());
    const auto adminAddress = Endpoint::parse(FLAGS_admin_address);
    if (!members || !adminAddress) {
        return StandIn::reportStartFailure(!members ? members.error() : adminAddress.error());
    }
    asio::io_context context(1);
    const SteadyClock clock;
    const auto group = StandIn::BackendGroup::start(context.get_executor(), clock, *members);
    if (!group) {
        return StandIn::reportStartFailure(group.error());
    }
    const auto admin = HttpServer::listen(context.get_executor(), *adminAddress, **group);
    if (!admin) {
        return StandIn::reportStartFailure(admin.error());
    }
    std::cout << "event=listening program=standin-backend servers=" << (*group)->size() << " admin=" << (*admin)->address().toString()
              << std::endl;
    StandIn::runUntilSignal(context);
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return run();
}
