#include "lib/backendgroup.h"
#include "lib/program.h"
#include "model/configreader.h"

#include <asio/io_context.hpp>
#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(servers, "", "comma-separated backend servers, each NAME=ip:port=ip:port (datagram address, health address)");
DEFINE_string(config, "", "TOML configuration file whose backend servers are started, instead of --servers");
DEFINE_string(pool, "", "pool of --config to start; empty: all pools");
DEFINE_string(admin_address, "", "address of the HTTP admin path; empty for none");
DEFINE_uint32(slots, 2, "maximum number of requests that a server of --servers runs at the same time");
DEFINE_uint32(queue_limit, 16, "maximum number of requests that wait at a server; further requests are shed");
DEFINE_uint32(work_us, 2000, "service time in microseconds of a request that names none");
DEFINE_uint32(cold_start_ms, 0, "time in milliseconds after the start in which service times are multiplied by cold_factor");
DEFINE_uint32(cold_factor, 5, "factor of the service time during a cold start");
DEFINE_uint64(seed, 1, "seed of the random choice of faults");

using namespace Samphirepitch;

namespace
{

StandIn::BackendStandIn::Options defaults()
{
    StandIn::BackendStandIn::Options options;
    options.slots = FLAGS_slots;
    options.queueLimit = FLAGS_queue_limit;
    options.serviceTime = std::chrono::microseconds(FLAGS_work_us);
    options.coldStart = std::chrono::milliseconds(FLAGS_cold_start_ms);
    options.coldFactor = FLAGS_cold_factor;
    options.seed = FLAGS_seed;
    return options;
}

Result<std::vector<StandIn::BackendGroup::Member>> readMembers()
{
    if (FLAGS_config.empty()) {
        return StandIn::BackendGroup::parseMembers(FLAGS_servers, defaults());
    }
    ConfigReader reader;
    reader.readFile(FLAGS_config);
    if (hasErrors(reader.findings())) {
        return failure(ErrorKind::Rejected, FLAGS_config, reader.findings().front().describe());
    }
    return StandIn::BackendGroup::membersFromConfig(reader.set(), FLAGS_pool, defaults());
}

int run()
{
    const auto members = readMembers();
    const auto adminAddress = FLAGS_admin_address.empty() ? Result<Endpoint>() : Endpoint::parse(FLAGS_admin_address);
    if (!members || !adminAddress) {
        return StandIn::reportStartFailure(!members ? members.error() : adminAddress.error());
    }
    asio::io_context context(1);
    const SteadyClock clock;
    const auto group = StandIn::BackendGroup::start(context.get_executor(), clock, *members);
    if (!group) {
        return StandIn::reportStartFailure(group.error());
    }
    std::unique_ptr<HttpServer> admin;
    if (!adminAddress->isUnset()) {
        auto listening = HttpServer::listen(context.get_executor(), *adminAddress, **group);
        if (!listening) {
            return StandIn::reportStartFailure(listening.error());
        }
        admin = std::move(*listening);
    }
    std::cout << "event=listening program=standin-backend servers=" << (*group)->size() << " admin=" << FLAGS_admin_address << std::endl;
    StandIn::runUntilSignal(context);
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return run();
}
