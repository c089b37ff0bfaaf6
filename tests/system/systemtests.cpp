#include "system/systemdeployment.h"

#include <catch2/catch.hpp>

using namespace Samphirepitch;
using namespace Samphirepitch::Testing;

namespace
{

constexpr std::size_t callerCount = 8;
constexpr std::size_t requestsOfCaller = 12;

/** Checks that each result is the server's own for this request: its echo, its service, and the address it came from. */
void checkOwnResults(const SystemDeployment &deployment, const SystemCaller::Request &request)
{
    const std::string pool = request.service == deployment.desk() ? "desk-" : "tiles-";
    for (std::size_t index = 0; index < request.answers.size(); ++index) {
        const CallerAnswer &answer = request.answers[index];
        CHECK(request.senders[index] == request.service);
        if (answer.kind == AnswerKind::Result) {
            CHECK(answer.body == request.body);
            CHECK(answer.service == request.service.toString());
            CHECK(answer.server.substr(0, pool.size()) == pool);
        }
    }
}

/** Checks that each request of each caller has one answer, a result. */
void checkAllServedOnce(const SystemDeployment &deployment)
{
    for (const auto &caller : deployment.callers()) {
        CHECK(caller->unexpected() == 0);
        for (const auto &[id, request] : caller->requests()) {
            CAPTURE(id);
            REQUIRE(request.answers.size() == 1);
            CHECK(request.answers.front().kind == AnswerKind::Result);
            checkOwnResults(deployment, request);
        }
    }
}

void requestBoth(SystemDeployment &deployment, SystemCaller &caller, std::uint64_t workUs = 0)
{
    for (std::size_t request = 0; request < requestsOfCaller; ++request) {
        caller.request(deployment.tiles(), "tile", workUs);
        caller.request(deployment.desk(), request % 2 == 0 ? "check_in" : "look", workUs);
    }
}

bool untilAllSettled(SystemDeployment &deployment)
{
    return deployment.until([&deployment] {
        const auto &callers = deployment.callers();
        return std::all_of(callers.begin(), callers.end(), [](const auto &caller) { return caller->unsettled() == 0; });
    });
}

} // namespace

// Guards against a packet of one service at a server of another, and an answer that is lost, cut or given to another caller.
TEST_CASE("Requests reach a server of their service and the whole answer returns to the caller, at any instance", "[system]")
{
    CAPTURE(SystemDeployment::seed);
    SystemDeployment deployment;
    deployment.startAll(deployment.publish());
    for (std::size_t number = 0; number < callerCount; ++number) {
        requestBoth(deployment, deployment.addCaller());
    }
    REQUIRE(untilAllSettled(deployment));
    checkAllServedOnce(deployment);
    for (const std::size_t index : deployment.running()) {
        CAPTURE(index);
        CHECK(deployment.metric(index, "samphirepitch_packets_total{kind=\"from_fabric\"}") > 0);
    }
}

// Guards against an instance that cannot start without the platform, or that serves an older generation than its peers.
TEST_CASE("An instance that starts during an outage of the platform takes the newest generation from its peers", "[system]")
{
    CAPTURE(SystemDeployment::seed);
    SystemDeployment deployment;
    constexpr std::size_t late = SystemDeployment::instanceCount - 1;
    deployment.startAll(deployment.publish(), late);
    const auto newest = static_cast<double>(deployment.publish({ "desk-0" }));
    REQUIRE(deployment.untilMetric(deployment.running(), "samphirepitch_generation_prepared_everywhere", newest));

    StandIn::PlatformFaults faults = deployment.platform().faults();
    faults.outage = true;
    deployment.platform().changeFaults(faults);
    deployment.start(late);
    REQUIRE(deployment.until([&] { return deployment.isServing(late); }));
    CHECK(deployment.metric(late, "samphirepitch_generation_held") == newest);
    REQUIRE(deployment.untilMetric(deployment.running(), "samphirepitch_members", SystemDeployment::instanceCount));

    deployment.spread({ late });
    requestBoth(deployment, deployment.addCaller());
    REQUIRE(untilAllSettled(deployment));
    checkAllServedOnce(deployment);
    for (const auto &[id, request] : deployment.callers().front()->requests()) {
        CAPTURE(id);
        CHECK(request.answers.front().server != "desk-0");
    }
}
