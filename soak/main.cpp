#include "soak/soakrun.h"

#include <gflags/gflags.h>

#include <iostream>

DEFINE_uint64(seed, 1, "seed of the fault schedule");
DEFINE_uint32(instances, 6, "number of instances, each a process");
DEFINE_uint32(network, 0, "number of the loopback network, 0 to 31; parallel runs need different ones");
DEFINE_bool(peer_links, false, "also inject faults into the links between instances; the rest of the schedule stays the same");
DEFINE_bool(store_restores, false, "the store also returns from older copies; the rest of the schedule stays the same");
DEFINE_bool(odd_entries, false, "another writer leaves odd entries, and odd routes exist; the rest of the schedule stays the same");
DEFINE_bool(foreign_entries, false, "another writer leaves sound entries of its own; the rest of the schedule stays the same");
DEFINE_bool(reused_ports, false, "clients use ports again; the rest of the schedule stays the same");
DEFINE_bool(evacuations, false, "an operator evacuates failure domains; the rest of the schedule stays the same");
DEFINE_bool(restored_routes, false, "an operator removes a route and puts it back; the rest of the schedule stays the same");
DEFINE_string(program, "", "samphirepitchd");
DEFINE_string(folder, "", "folder for settings and logs of the instances");
DEFINE_bool(schedule, false, "print the schedule even without violations");

using namespace Samphirepitch::Soak;

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("samphirepitch-soak --program FILE --folder FOLDER [--seed N]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    SoakOptions options;
    options.seed = FLAGS_seed;
    options.instances = FLAGS_instances;
    options.program = FLAGS_program;
    options.folder = FLAGS_folder;
    options.network = FLAGS_network;
    options.peerLinks = FLAGS_peer_links;
    options.storeRestores = FLAGS_store_restores;
    options.oddEntries = FLAGS_odd_entries;
    options.foreignEntries = FLAGS_foreign_entries;
    options.reusedPorts = FLAGS_reused_ports;
    options.evacuations = FLAGS_evacuations;
    options.restoredRoutes = FLAGS_restored_routes;
    SoakRun run(options);
    const std::vector<std::string> violations = run.execute();
    if (FLAGS_schedule || !violations.empty()) {
        for (const std::string &line : run.schedule()) {
            std::cout << "  " << line << '\n';
        }
    }
    for (const std::string &violation : violations) {
        std::cout << "  BROKEN: " << violation << '\n';
    }
    std::cout << "soak: seed=" << FLAGS_seed << (options.peerLinks ? "+links" : "") << (options.storeRestores ? "+restore" : "")
              << (options.oddEntries ? "+odd" : "") << (options.foreignEntries ? "+foreign" : "") << (options.reusedPorts ? "+ports" : "")
              << (options.evacuations ? "+evacuations" : "") << (options.restoredRoutes ? "+routes" : "")
              << (violations.empty() ? " held" : " red") << " served=" << run.servedCount() << " failed=" << run.failedCount() << '\n';
    return violations.empty() ? 0 : 1;
}
