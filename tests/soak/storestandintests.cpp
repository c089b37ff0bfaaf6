#include "objectstore/httpconnection.h"
#include "objectstore/platformfixture.h"
#include "soak/storestandin.h"

using namespace Samphirepitch;
using namespace Samphirepitch::Testing;

using std::chrono::milliseconds;
using Json = nlohmann::json;

namespace
{

struct StoreFixture {
    HttpResponse get(const std::string &target)
    {
        return await(context, store.handle(request(target))).value();
    }

    static HttpRequest request(const std::string &target)
    {
        HttpRequest request;
        request.target = target;
        return request;
    }

    Json list(const std::string &kind)
    {
        return Json::parse(get("/v1/objects/" + kind).body);
    }

    HttpResponse watch(std::uint64_t revision)
    {
        return get("/v1/objects/config?watch=" + std::to_string(revision));
    }

    /** Starts a watch from @p revision that waits for a change. */
    void startWatch(std::uint64_t revision)
    {
        const std::string target = "/v1/objects/config?wait_ms=20000&watch=" + std::to_string(revision);
        asio::co_spawn(context, store.handle(request(target)),
            [this](const std::exception_ptr &, std::optional<HttpResponse> response) { watched = std::move(response); });
        context.poll();
        REQUIRE_FALSE(watched.has_value());
    }

    HttpResponse awaitWatch()
    {
        const auto deadline = std::chrono::steady_clock::now() + testTimeout;
        while (!watched && context.run_one_until(deadline) > 0) { }
        return watched.value();
    }

    static std::string era(const HttpResponse &response)
    {
        const std::string *const value = response.headers.find("store-era");
        return value == nullptr ? "" : *value;
    }

    asio::io_context context { 1 };
    ManualClock clock;
    std::optional<HttpResponse> watched;
    Soak::StoreStandin store { context.get_executor(), clock };
};

} // namespace

TEST_CASE_METHOD(StoreFixture, "each response of the store names its era", "[soak][storestandin]")
{
    // Guards against a response without the header, which a client could not assign to an era.
    store.put("config", "main", { { "version", 2 } });
    const std::string first = GENERATE("1", "2");
    if (first == "2") {
        store.restore(milliseconds(0));
    }
    CHECK(era(get("/v1/objects/config")) == first);
    CHECK(era(watch(1)) == first);
    CHECK(era(watch(99)) == first);
    CHECK(era(get("/elsewhere")) == first);
    store.setUnavailable(true);
    CHECK(era(get("/v1/objects/config")) == first);
    store.setUnavailable(false);

    // Over a connection, the field is part of the bytes sent.
    SteadyClock steadyClock;
    HttpConnection connection(context.get_executor(), steadyClock, store.address());
    const auto response = await(context, connection.exchange(request("/v1/objects/config"), steadyClock.now() + testTimeout));
    REQUIRE(response.has_value());
    CHECK(era(*response) == first);
}

TEST_CASE_METHOD(StoreFixture, "a restored store has the objects and the revision of that time", "[soak][storestandin]")
{
    store.put("servers", "i-1", { { "state", "ready" } });
    const std::uint64_t kept = store.put("config", "main", { { "version", 2 } });
    const Json configuration = list("config");
    const Json servers = list("servers");
    clock.advance(milliseconds(1000));
    store.put("config", "main", { { "version", 3 } });
    store.put("servers", "i-2", { { "state", "ready" } });
    store.remove("servers", "i-1");
    clock.advance(milliseconds(2000));

    SECTION("a copy from before the changes")
    {
        store.restore(milliseconds(2500));
        CHECK(list("config") == configuration);
        CHECK(list("servers")["items"] == servers["items"]);
        CHECK(store.put("config", "main", { { "version", 4 } }) == kept + 1);
    }
    SECTION("a copy from after them")
    {
        store.restore(milliseconds(1500));
        CHECK(list("config")["items"][0]["spec"]["version"] == 3);
        CHECK(list("servers")["items"].size() == 1);
        CHECK(list("servers")["store_revision"] == kept + 3);
    }
}

TEST_CASE_METHOD(StoreFixture, "a second copy may be older than the first return", "[soak][storestandin]")
{
    // Guards against a state that the store never had: at the time of the copy, the change was not lost yet.
    store.put("config", "main", { { "version", 2 } });
    clock.advance(milliseconds(1000));
    store.put("config", "main", { { "version", 3 } });
    clock.advance(milliseconds(1000));
    store.restore(milliseconds(1500));
    store.put("config", "main", { { "version", 4 } });
    clock.advance(milliseconds(1000));
    store.restore(milliseconds(1500));
    CHECK(list("config")["items"][0]["spec"]["version"] == 3);
    CHECK(era(watch(2)) == "3");
    clock.advance(milliseconds(1000));
    store.restore(milliseconds(1500));
    CHECK(list("config")["items"][0]["spec"]["version"] == 4);
}

TEST_CASE_METHOD(
    StoreFixture, "a watch from a revision that the store lost is gone until the revision is given out again", "[soak][storestandin]")
{
    const std::uint64_t kept = store.put("config", "main", { { "version", 2 } });
    clock.advance(milliseconds(1000));
    const std::uint64_t lost = store.put("config", "main", { { "version", 3 } });
    store.restore(milliseconds(500));
    CHECK(watch(kept).status == 200);
    CHECK(watch(lost).status == 410);

    // A client that orders by revision alone notices nothing: its watch succeeds, although it never saw the change with that revision.
    CHECK(store.put("servers", "i-1", { { "state", "ready" } }) == lost);
    const HttpResponse response = watch(lost);
    CHECK(response.status == 200);
    CHECK(Json::parse(response.body)["events"].empty());
    CHECK(era(response) == "2");
}

TEST_CASE_METHOD(StoreFixture, "a waiting watch ends when the store loses its revision", "[soak][storestandin]")
{
    store.put("config", "main", { { "version", 2 } });
    clock.advance(milliseconds(1000));
    startWatch(store.put("config", "main", { { "version", 3 } }));
    store.restore(milliseconds(500));
    if (GENERATE(false, true)) {
        store.put("config", "main", { { "version", 4 } }); // gets the lost revision at once
    }
    const HttpResponse response = awaitWatch();
    CHECK(response.status == 410);
    CHECK(era(response) == "2");
}

TEST_CASE_METHOD(StoreFixture, "a waiting watch of a restored store returns later changes", "[soak][storestandin]")
{
    const std::uint64_t kept = store.put("config", "main", { { "version", 2 } });
    startWatch(kept);
    store.restore(milliseconds(0));
    store.put("config", "main", { { "version", 3 } });
    CHECK(Json::parse(awaitWatch().body)["events"][0]["object"]["spec"]["version"] == 3);
}

TEST_CASE_METHOD(StoreFixture, "a restored store has the history of that time", "[soak][storestandin]")
{
    const std::uint64_t first = store.put("config", "main", { { "version", 2 } });
    store.put("config", "main", { { "version", 3 } });
    clock.advance(milliseconds(1000));
    store.compact();
    CHECK(watch(first).status == 410);
    clock.advance(milliseconds(1000));

    SECTION("before it was dropped")
    {
        store.restore(milliseconds(1500));
        CHECK(Json::parse(watch(first).body)["events"].size() == 1);
    }
    SECTION("after it was dropped")
    {
        store.restore(milliseconds(500));
        CHECK(watch(first).status == 410);
    }
}

TEST_CASE_METHOD(StoreFixture, "a write that changes nothing keeps the revision", "[soak][storestandin]")
{
    const std::uint64_t revision = store.put("servers", "i-1", { { "state", "ready" } });
    CHECK(store.put("servers", "i-1", { { "state", "ready" } }) == revision);
    CHECK(store.put("servers", "i-1", { { "state", "draining" } }) == revision + 1);
}
