// A UDP relay that forwards without any decision. It is the baseline for benchmarks across processes.
#include "load/plainrelay.h"

#include <gflags/gflags.h>

#include <csignal>
#include <iostream>

DEFINE_string(front, "127.0.0.1:7100", "address whose datagrams are forwarded to the target");
DEFINE_string(back, "127.0.0.1:7101", "address whose datagrams are forwarded to the return address");
DEFINE_string(target, "127.0.0.1:7200", "address of the server");
DEFINE_string(fabric_return, "127.0.0.1:7300", "address that responses are sent to");

using namespace Samphirepitch;

namespace
{

std::atomic<bool> stopped = false;

void onSignal(int)
{
    stopped = true;
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto front = Endpoint::parse(FLAGS_front);
    const auto back = Endpoint::parse(FLAGS_back);
    const auto target = Endpoint::parse(FLAGS_target);
    const auto fabricReturn = Endpoint::parse(FLAGS_fabric_return);
    if (!front || !back || !target || !fabricReturn) {
        std::cerr << "each address must be written as a.b.c.d:port\n";
        return 2;
    }
    auto relay = PlainRelay::create({ *front, *back, *target, *fabricReturn });
    if (!relay) {
        std::cerr << relay.error().describe() << "\n";
        return 1;
    }
    std::signal(SIGTERM, onSignal);
    std::signal(SIGINT, onSignal);
    relay->run(stopped);
    return 0;
}
