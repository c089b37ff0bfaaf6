#include "system/systemdeployment.h"

#include <catch2/catch.hpp>

using namespace Samphirepitch;
using namespace Samphirepitch::Testing;

namespace
{

constexpr std::size_t callerCount = 8;
constexpr std::size_t requestsOfCaller = 12;

/** Checks that an answer is the server's own for this request: its echo, its service, and the address it came from. */
void checkOwnAnswer(const SystemCaller::Request &request, const std::string &pool)
{
    const CallerAnswer &answer = request.answers.front();
    CHECK(answer.kind == AnswerKind::Result);
    CHECK(answer.body == request.body);
    CHECK(answer.service == request.service.toString());
    CHECK(answer.server.substr(0, pool.size()) == pool);
    CHECK(request.senders.front() == request.service);
}

void checkAllOwn(const SystemDeployment &deployment)
{
    for (const auto &caller : deployment.callers()) {
        CHECK(caller->unexpected() == 0);
        for (const auto &[id, request] : caller->requests()) {
            CAPTURE(id);
            REQUIRE(!request.answers.empty());
            checkOwnAnswer(request, request.service == deployment.desk() ? "desk-" : "tiles-");
        }
    }
}

} // namespace

// Guards against a packet of one service at a server of another, and an answer that is lost, cut or given to another caller.
TEST_CASE("Requests reach a server of their service and the whole answer returns to the caller, at any instance", "[system]")
{
    CAPTURE(SystemDeployment::seed);
    SystemDeployment deployment;
    deployment.startAll(deployment.publish());
    for (std::size_t number = 0; number < callerCount; ++number) {
        SystemCaller &caller = deployment.addCaller();
        for (std::size_t request = 0; request < requestsOfCaller; ++request) {
            caller.request(deployment.tiles(), "tile");
            caller.request(deployment.desk(), request % 2 == 0 ? "check_in" : "look");
        }
    }
    REQUIRE(deployment.until([&] {
        return std::all_of(
            deployment.callers().begin(), deployment.callers().end(), [](const auto &caller) { return caller->unanswered() == 0; });
    }));
    checkAllOwn(deployment);
    for (const std::size_t index : deployment.running()) {
        CAPTURE(index);
        CHECK(deployment.metric(index, "samphirepitch_packets_total{kind=\"from_fabric\"}") > 0);
    }
}
