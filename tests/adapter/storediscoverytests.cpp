#include "fakes/await.h"
#include "objectstore/httpserver.h"
#include "platform/storediscovery.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

using namespace Samphirepitch;

using std::chrono::milliseconds;

namespace
{

constexpr std::chrono::seconds callTime { 5 };

/** Responds to each request target with the response that was set for it, and records the targets. */
class ScriptedStore : public HttpHandler
{
public:
    void answer(const std::string &target, std::string body, int status = 200)
    {
        HttpResponse response = HttpResponse::of(status, "application/json", std::move(body));
        if (m_era) {
            response.headers.add("Store-Era", *m_era);
        }
        m_answers[target] = std::move(response);
    }

    /** Sets the value of the header Store-Era for the responses that are set afterwards. */
    void setEra(std::string era)
    {
        m_era = std::move(era);
    }

    asio::awaitable<std::optional<HttpResponse>> handle(HttpRequest request) override
    {
        targets.push_back(request.target);
        const auto found = m_answers.find(request.target);
        if (found == m_answers.end()) {
            co_return std::nullopt; // the connection is closed without a response
        }
        co_return found->second;
    }

    std::vector<std::string> targets;

private:
    std::map<std::string, HttpResponse> m_answers;
    std::optional<std::string> m_era;
};

class StoreFixture
{
public:
    StoreFixture()
        : m_server(std::move(HttpServer::listen(m_context.get_executor(), Endpoint(0x7f000001, 0), store).value()))
        , m_discovery(m_context.get_executor(), m_clock, m_server->address())
    {
    }

    Result<ServerList> servers()
    {
        return run(m_discovery.listServers(deadline()));
    }

    Result<ServerUpdates> updates(std::uint64_t revision)
    {
        return run(m_discovery.awaitServerUpdates(revision, milliseconds(4000), deadline()));
    }

    Result<ConfigurationRead> configuration()
    {
        return run(m_discovery.readConfiguration(deadline()));
    }

    Result<ConfigurationRead> configurationUpdate(std::uint64_t revision)
    {
        return run(m_discovery.awaitConfigurationUpdate(revision, milliseconds(2000), deadline()));
    }

    static std::string object(const std::string &name, int revision, const std::string &spec)
    {
        return R"({"meta":{"name":")" + name + R"(","revision":)" + std::to_string(revision)
            + R"(,"created_at":1,"finalizers":[],"deleting":false},"spec":)" + spec + R"(,"status":null})";
    }

    static std::string serverSpec()
    {
        return R"({"service":"pond","address":"10.128.0.9:8080","zone":"a","version":"v1","slots":2,"state":"ready",)"
               R"("cold_remaining_ms":0,"sequence":4})";
    }

    static std::string configurationSpec()
    {
        return R"({"version":7,"routes":[],"services":[],"limits":{"idle_timeout_ms":15000}})";
    }

    ScriptedStore store;

private:
    TimePoint deadline() const
    {
        return m_clock.now() + callTime;
    }

    template<typename Value>
    Value run(asio::awaitable<Value> work)
    {
        std::optional<Value> result;
        m_context.restart();
        asio::co_spawn(m_context, Tests::storeResult(std::move(work), result), asio::detached);
        while (!result) {
            m_context.run_one();
        }
        return *std::move(result);
    }

    asio::io_context m_context;
    SteadyClock m_clock;
    std::unique_ptr<HttpServer> m_server;
    StoreDiscovery m_discovery;
};

} // namespace

TEST_CASE_METHOD(StoreFixture, "a list of servers is read page by page and has the revision of the first page", "[adapter][storediscovery]")
{
    store.answer("/v1/objects/servers",
        R"({"items":[)" + object("i-1", 4, serverSpec()) + "," + object("i-2", 5, "{}") + R"(],"has_more":true,"store_revision":30})");
    store.answer(
        "/v1/objects/servers?after=i-2", R"({"items":[)" + object("i-3", 6, serverSpec()) + R"(],"has_more":false,"store_revision":33})");
    const auto list = servers();
    REQUIRE(list.has_value());
    CHECK(list->position == StorePosition(0, 30));
    REQUIRE(list->servers.size() == 2);
    CHECK(list->servers[0].id == "i-1");
    CHECK(list->servers[1].id == "i-3");
    CHECK(list->servers[1].position == StorePosition(0, 6));
    REQUIRE(list->faults.size() == 1);
    CHECK(list->faults[0].subject == "i-2");
}

TEST_CASE_METHOD(StoreFixture, "changes of servers are returned in order", "[adapter][storediscovery]")
{
    store.answer("/v1/objects/servers?watch=30&wait_ms=4000",
        R"({"events":[{"deleted":false,"object":)" + object("i-1", 31, serverSpec()) + R"(},{"deleted":true,"object":)"
            + object("i-2", 32, "null") + R"(},{"deleted":false,"object":)" + object("i-3", 33, "7") + R"(}],"store_revision":34})");
    const auto changes = updates(30);
    REQUIRE(changes.has_value());
    CHECK(changes->position == StorePosition(0, 34));
    REQUIRE(changes->updates.size() == 3);
    CHECK(changes->updates[0].listed.has_value());
    CHECK(changes->updates[1].unlisted == std::optional<std::string>("i-2"));
    CHECK(changes->updates[1].position == StorePosition(0, 32));
    CHECK(changes->updates[2].fault.has_value());
}

TEST_CASE_METHOD(
    StoreFixture, "the configuration is read from its object and other objects of the kind are ignored", "[adapter][storediscovery]")
{
    store.answer("/v1/objects/config",
        R"({"items":[)" + object("draft", 8, R"({"version":9})") + "," + object("main", 6, configurationSpec())
            + R"(],"has_more":false,"store_revision":30})");
    const auto read = configuration();
    REQUIRE(read.has_value());
    CHECK(read->position == StorePosition(0, 30));
    CHECK_FALSE(read->fault.has_value());
    REQUIRE(read->configuration.has_value());
    CHECK(read->configuration->version == 7);
    CHECK(read->configuration->position == StorePosition(0, 6));
}

TEST_CASE_METHOD(
    StoreFixture, "an invalid configuration is reported as a fault and a removed one changes nothing", "[adapter][storediscovery]")
{
    store.answer("/v1/objects/config?watch=30&wait_ms=2000",
        R"({"events":[{"deleted":false,"object":)" + object("main", 31, R"("text")") + R"(}],"store_revision":31})");
    const auto faulty = configurationUpdate(30);
    REQUIRE(faulty.has_value());
    CHECK(faulty->fault.has_value());
    CHECK_FALSE(faulty->configuration.has_value());
    store.answer("/v1/objects/config?watch=31&wait_ms=2000",
        R"({"events":[{"deleted":true,"object":)" + object("main", 32, "null") + R"(}],"store_revision":32})");
    const auto removed = configurationUpdate(31);
    REQUIRE(removed.has_value());
    CHECK_FALSE(removed->fault.has_value());
    CHECK_FALSE(removed->configuration.has_value());
    CHECK(removed->position == StorePosition(0, 32));
}

TEST_CASE_METHOD(StoreFixture, "each kind of failure of the store is reported as its own kind of error", "[adapter][storediscovery]")
{
    const std::string target = "/v1/objects/servers?watch=30&wait_ms=4000";
    const auto kindOf = [&](std::string body, int status) {
        store.answer(target, std::move(body), status);
        const auto result = updates(30);
        return result ? std::string("success") : std::string(errorKindName(result.error().kind()));
    };
    CHECK(kindOf("{}", 410) == "history_gone");
    CHECK(kindOf("{}", 429) == "rate_limited");
    CHECK(kindOf("{}", 503) == "unavailable");
    CHECK(kindOf("{}", 418) == "malformed");
    CHECK(kindOf("{}", 200) == "malformed");
    CHECK(kindOf("[]", 200) == "malformed");
    CHECK(kindOf(R"({"events":[{"del)", 200) == "malformed");
    CHECK(kindOf(R"({"events":{},"store_revision":4})", 200) == "malformed");
    CHECK(kindOf(R"({"events":[],"store_revision":"4"})", 200) == "malformed");
    CHECK(kindOf(R"({"events":[],"store_revision":30})", 200) == "success");
}

TEST_CASE_METHOD(StoreFixture, "a lost response is reported as an unknown outcome", "[adapter][storediscovery]")
{
    const auto lost = servers();
    REQUIRE_FALSE(lost.has_value());
    CHECK(lost.error().kind() == ErrorKind::OutcomeUnknown);
}

TEST_CASE_METHOD(StoreFixture, "the era of the store is part of each position in its responses", "[adapter][storediscovery][era]")
{
    // Guards against revisions that are compared across the return of the store from an older copy.
    store.setEra("3");
    store.answer("/v1/objects/servers", R"({"items":[)" + object("i-1", 4, serverSpec()) + R"(],"has_more":false,"store_revision":30})");
    store.answer("/v1/objects/servers?watch=30&wait_ms=4000",
        R"({"events":[{"deleted":true,"object":)" + object("i-1", 32, "null") + R"(}],"store_revision":34})");
    store.answer(
        "/v1/objects/config", R"({"items":[)" + object("main", 6, configurationSpec()) + R"(],"has_more":false,"store_revision":30})");
    const auto list = servers();
    REQUIRE(list.has_value());
    CHECK(list->position == StorePosition(3, 30));
    CHECK(list->servers[0].position == StorePosition(3, 4));
    const auto changes = updates(30);
    REQUIRE(changes.has_value());
    CHECK(changes->position == StorePosition(3, 34));
    CHECK(changes->updates[0].position == StorePosition(3, 32));
    const auto read = configuration();
    REQUIRE(read.has_value());
    CHECK(read->position == StorePosition(3, 30));
    CHECK(read->configuration->position == StorePosition(3, 6));
}

TEST_CASE_METHOD(StoreFixture, "a response whose era is not a number is malformed", "[adapter][storediscovery][era]")
{
    // Guards against a wrong era that would make the instance ignore all further responses, or none.
    for (const std::string era : { "", "one", "-1", "1.5", "99999999999999999999" }) {
        CAPTURE(era);
        store.setEra(era);
        store.answer("/v1/objects/config", R"({"items":[],"has_more":false,"store_revision":30})");
        const auto read = configuration();
        REQUIRE_FALSE(read.has_value());
        CHECK(read.error().kind() == ErrorKind::Malformed);
    }
}

TEST_CASE_METHOD(StoreFixture, "a list whose pages are of different eras is read again", "[adapter][storediscovery][era]")
{
    // Guards against a list that mixes entries from before and after the return of the store.
    store.setEra("1");
    store.answer("/v1/objects/servers", R"({"items":[)" + object("i-1", 4, serverSpec()) + R"(],"has_more":true,"store_revision":30})");
    store.setEra("2");
    store.answer(
        "/v1/objects/servers?after=i-1", R"({"items":[)" + object("i-3", 6, serverSpec()) + R"(],"has_more":false,"store_revision":9})");
    const auto list = servers();
    REQUIRE_FALSE(list.has_value());
    CHECK(list.error().kind() == ErrorKind::HistoryGone);
}
