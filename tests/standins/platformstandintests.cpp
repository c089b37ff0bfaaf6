#include "objectstore/platformfixture.h"

using namespace Samphirepitch;
using namespace Samphirepitch::StandIn;
using namespace Samphirepitch::Testing;

namespace
{

struct AdminFixture : PlatformFixture {
    HttpResponse admin(std::string method, std::string target, std::string body = {})
    {
        HttpRequest request;
        request.method = std::move(method);
        request.target = std::move(target);
        request.body = std::move(body);
        return await(context, standIn.handle(std::move(request))).value();
    }
};

} // namespace

TEST_CASE_METHOD(AdminFixture, "the admin path changes the instance list", "[standins][platformstandin]")
{
    const std::string entry = R"({"failure_domain": "okene", "peer_address": "127.0.0.1:1", "data_address": "127.0.0.1:2"})";
    CHECK(admin("PUT", "/standin/instances/i-1", entry).status == 204);
    const ListedInstance expected { "i-1", "okene", Endpoint(0x7f000001, 1), Endpoint(0x7f000001, 2), false };
    CHECK(await(context, platform->instances(testDeadline())) == std::vector<ListedInstance> { expected });
    CHECK(admin("DELETE", "/standin/instances/i-1").status == 204);
    CHECK(await(context, platform->instances(testDeadline()))->empty());

    SECTION("an entry with a different id or an address that is not IPv4 is refused")
    {
        CHECK(admin("PUT", "/standin/instances/i-1", R"({"id": "i-2",)" + entry.substr(1)).status == 400);
        CHECK(admin("PUT", "/standin/instances/i-1",
                  R"({"failure_domain": "okene", "peer_address": "[::1]:1", "data_address": "127.0.0.1:2"})")
                  .status
            == 400);
    }
}

TEST_CASE_METHOD(AdminFixture, "faults can be changed separately, and unknown faults are refused", "[standins][platformstandin]")
{
    CHECK(admin("PUT", "/standin/faults", R"({"lose_answers": 2, "watch_delay_ms": 5})").status == 200);
    CHECK(admin("PUT", "/standin/faults", R"({"delay_ms": 1})").status == 200);
    CHECK(standIn.faults()
        == PlatformFaults { .delay = std::chrono::milliseconds(1), .loseResponses = 2, .watchDelay = std::chrono::milliseconds(5) });
    for (const char *body : { "{\"outage\": 1}", "{\"delay_ms\": -1}", "{\"unknown\": 1}", "[]", "{" }) {
        CHECK(admin("PUT", "/standin/faults", body).status == 400);
    }
}

TEST_CASE_METHOD(AdminFixture, "a restored snapshot has the older versions", "[standins][platformstandin]")
{
    CHECK(write("head", "one", Platform::mustNotExist) == 1);
    CHECK(admin("POST", "/standin/snapshot").status == 204);
    CHECK(write("head", "two", 1) == 2);
    CHECK(write("later", "x", Platform::mustNotExist) == 1);
    CHECK(admin("POST", "/standin/restore").status == 204);
    CHECK(read("head") == PlatformObject { "head", "one", 1 });
    CHECK(read("later").error().kind() == ErrorKind::NotFound);
}

TEST_CASE_METHOD(AdminFixture, "a watch that is served late returns the newest object", "[standins][platformstandin]")
{
    // Guards against a watch response with an object that was replaced before the response was sent.
    CHECK(write("head", "one", Platform::mustNotExist) == 1);
    standIn.setFaults({ .watchDelay = std::chrono::milliseconds(20) });
    std::optional<Result<PlatformObject>> seen;
    asio::co_spawn(context, platform->watch("head", 1, testDeadline()),
        [&](std::exception_ptr, Result<PlatformObject> object) { seen = std::move(object); });
    CHECK(write("head", "two", 1) == 2);
    CHECK(write("head", "three", 2) == 3);
    while (!seen) {
        REQUIRE(context.run_one_for(testTimeout) > 0);
    }
    CHECK(*seen == PlatformObject { "head", "three", 3 });
}

TEST_CASE_METHOD(AdminFixture, "a write without a condition is refused", "[standins][platformstandin]")
{
    CHECK(admin("PUT", "/v1/objects/head", "x").status == 400);
    CHECK(admin("POST", "/v1/objects/head", "x").status == 405);
    CHECK(admin("GET", "/v1/objects/head?watch=x&timeout_ms=1").status == 400);
    CHECK(admin("GET", "/v1/list?prefix=%41").status == 400);
    CHECK(admin("GET", "/v2/list").status == 404);
    CHECK(standIn.store().version("head") == 0);
}
