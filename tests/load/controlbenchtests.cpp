#include "load/controlbench.h"

#include <catch2/catch.hpp>

#include <sstream>

using namespace Samphirepitch;

TEST_CASE("the control bench measures two failure domains and prints a line for each phase", "[load][controlbench]")
{
    ControlBench::Settings settings;
    settings.instances = 4;
    settings.failureDomains = 2;
    settings.idleTime = std::chrono::milliseconds(600);
    settings.changes = 2;
    std::ostringstream out;
    REQUIRE(ControlBench::run(settings, out));
    CHECK(out.str().find("bench: name=control instances=4 failure_domains=2 seed=1 phase=idle") == 0);
    CHECK(out.str().find("phase=change changes=2") != std::string::npos);
}
