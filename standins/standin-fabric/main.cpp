#include "lib/fabricstandin.h"
#include "lib/program.h"
#include "objectstore/httpserver.h"

#include <asio/io_context.hpp>
#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(services, "", "comma-separated service addresses to bind, ip:port");
DEFINE_string(instances, "", "comma-separated data addresses of the instances, ip:port");
DEFINE_string(return_address, "127.0.0.1:6999", "address that receives datagrams from instances, and the source of datagrams to them");
DEFINE_string(admin_address, "127.0.0.1:8501", "address of the HTTP admin path");
DEFINE_double(loss_percent, 0, "percentage of datagrams that are dropped");
DEFINE_double(duplication_percent, 0, "percentage of datagrams that are sent twice");
DEFINE_double(reordering_percent, 0, "percentage of datagrams that are held back for 5 ms");
DEFINE_uint64(seed, 1, "seed of the random choice of instances and faults");

using namespace Samphirepitch;

namespace
{

Result<StandIn::FabricStandIn::Options> readOptions()
{
    const auto services = StandIn::parseEndpoints(FLAGS_services);
    const auto instances = StandIn::parseEndpoints(FLAGS_instances);
    const auto returnAddress = Endpoint::parse(FLAGS_return_address);
    if (!services || !instances || !returnAddress) {
        return tl::unexpected(!services ? services.error() : !instances ? instances.error() : returnAddress.error());
    }
    StandIn::FabricStandIn::Options options;
    options.services = *services;
    options.instances = *instances;
    options.returnAddress = *returnAddress;
    options.faults.lossPercent = FLAGS_loss_percent;
    options.faults.duplicationPercent = FLAGS_duplication_percent;
    options.faults.reorderingPercent = FLAGS_reordering_percent;
    options.seed = FLAGS_seed;
    return options;
}

int run()
{
    const auto options = readOptions();
    const auto adminAddress = Endpoint::parse(FLAGS_admin_address);
    if (!options || !adminAddress) {
        return StandIn::reportStartFailure(!options ? options.error() : adminAddress.error());
    }
    asio::io_context context(1);
    const auto fabric = StandIn::FabricStandIn::start(context.get_executor(), *options);
    if (!fabric) {
        return StandIn::reportStartFailure(fabric.error());
    }
    const auto server = HttpServer::listen(context.get_executor(), *adminAddress, **fabric);
    if (!server) {
        return StandIn::reportStartFailure(server.error());
    }
    std::cout << "event=listening program=standin-fabric services=" << (*fabric)->services().size()
              << " return_address=" << (*fabric)->returnAddress().toString() << " admin=" << (*server)->address().toString() << std::endl;
    StandIn::runUntilSignal(context);
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return run();
}
