#include "fakes/await.h"
#include "objectstore/httpserver.h"
#include "platform/storediscovery.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>

#include <deque>
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

/** Sends scripted responses, one for each request on any connection, however wrong they are. */
class ScriptedResponses
{
public:
    explicit ScriptedResponses(asio::io_context &context)
        : m_acceptor(context, { asio::ip::address_v4::loopback(), 0 })
    {
        asio::co_spawn(context, accept(), asio::detached);
    }

    Endpoint address() const
    {
        return { 0x7f000001, m_acceptor.local_endpoint().port() };
    }

    std::deque<std::string> bodies;
    int connections = 0;

private:
    asio::awaitable<void> accept()
    {
        while (true) {
            asio::ip::tcp::socket socket = co_await m_acceptor.async_accept(asio::use_awaitable);
            ++connections;
            asio::co_spawn(m_acceptor.get_executor(), serve(std::move(socket)), asio::detached);
        }
    }

    asio::awaitable<void> serve(asio::ip::tcp::socket socket)
    {
        std::string request;
        std::error_code error;
        while (true) {
            const std::size_t size = co_await asio::async_read_until(
                socket, asio::dynamic_buffer(request), "\r\n\r\n", asio::redirect_error(asio::use_awaitable, error));
            if (error || bodies.empty()) {
                co_return;
            }
            request.erase(0, size);
            const std::string body = std::move(bodies.front());
            bodies.pop_front();
            const std::string response = "HTTP/1.1 200 OK\r\ncontent-length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
            co_await asio::async_write(socket, asio::buffer(response), asio::redirect_error(asio::use_awaitable, error));
        }
    }

    asio::ip::tcp::acceptor m_acceptor;
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

    Result<EvacuationList> evacuations()
    {
        return run(m_discovery.listEvacuations(deadline()));
    }

    Result<EvacuationUpdates> evacuationUpdates(std::uint64_t revision)
    {
        return run(m_discovery.awaitEvacuationUpdates(revision, milliseconds(4000), deadline()));
    }

    static std::string object(const std::string &name, int revision, const std::string &spec)
    {
        return R"({"meta":{"name":")" + name + R"(","revision":)" + std::to_string(revision)
            + R"(,"created_at":1,"finalizers":[],"deleting":false},"spec":)" + spec + R"(,"status":null})";
    }

    static std::string serverSpec()
    {
        return R"({"service":"pond","address":"10.128.0.9:8080","zone":"a","version":"v1","slots":2,"state":"ready",)"
               R"("cold_remaining_ms":0,"sequence":4,"born":1780000000123})";
    }

    static std::string configurationSpec()
    {
        return R"({"version":7,"routes":[],"services":[],"limits":{"idle_timeout_ms":15000}})";
    }

    ScriptedStore store;

protected:
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

private:
    std::unique_ptr<HttpServer> m_server;
    StoreDiscovery m_discovery;
};

class LateResponseFixture : public StoreFixture
{
public:
    LateResponseFixture()
        : responses(m_context)
        , m_discovery(m_context.get_executor(), m_clock, responses.address())
    {
    }

    Result<ServerList> servers()
    {
        return run(m_discovery.listServers(deadline()));
    }

    Result<ServerUpdates> updates(std::uint64_t revision, milliseconds wait)
    {
        return run(m_discovery.awaitServerUpdates(revision, wait, deadline()));
    }

    ScriptedResponses responses;

private:
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

TEST_CASE_METHOD(StoreFixture, "an entry that can't be read doesn't hide the others in a list", "[adapter][storediscovery][odd]")
{
    // Another writer may leave any value among the entries. The whole response was unreadable then, for every instance, as long as it
    // stood.
    const auto odd = GENERATE(std::string("1e400"), std::string("\"\xff\xfe\""), std::string(200000, '[') + std::string(200000, ']'),
        std::string("[1e400,{\"slots\":-1e999}]"));
    store.answer("/v1/objects/servers",
        R"({"items":[)" + object("i-1", 4, serverSpec()) + "," + object("i-2", 5, odd) + "," + object("i-3", 6, serverSpec())
            + R"(],"has_more":false,"store_revision":30})");
    const auto list = servers();
    REQUIRE(list.has_value());
    REQUIRE(list->servers.size() == 2);
    CHECK(list->servers[0].id == "i-1");
    CHECK(list->servers[1].id == "i-3");
    REQUIRE(list->faults.size() == 1);
    CHECK(list->faults[0].subject == "i-2");
    CHECK(list->position == StorePosition(0, 30));
}

TEST_CASE_METHOD(
    StoreFixture, "a change that can't be read doesn't hide the others, and the watch moves on", "[adapter][storediscovery][odd]")
{
    const auto odd = GENERATE(std::string("1e400"), std::string("\"\xff\xfe\""), std::string(200000, '[') + std::string(200000, ']'));
    store.answer("/v1/objects/servers?watch=30&wait_ms=4000",
        R"({"events":[{"deleted":false,"object":)" + object("i-1", 31, odd) + R"(},{"deleted":true,"object":)" + object("i-2", 32, odd)
            + R"(},{"deleted":false,"object":)" + object("i-3", 33, serverSpec()) + R"(},)" + odd + R"(],"store_revision":34})");
    const auto changes = updates(30);
    REQUIRE(changes.has_value());
    CHECK(changes->position == StorePosition(0, 34));
    REQUIRE(changes->updates.size() == 4);
    CHECK(changes->updates[0].fault.has_value());
    CHECK(changes->updates[1].unlisted == std::optional<std::string>("i-2"));
    CHECK(changes->updates[2].listed.has_value());
    CHECK(changes->updates[3].fault.has_value());
}

TEST_CASE_METHOD(StoreFixture, "10,000 entries that can't be read leave the server among them listed", "[adapter][storediscovery][odd]")
{
    std::string items = object("i-1", 4, serverSpec());
    for (int index = 0; index < 10000; ++index) {
        items += "," + object("x-" + std::to_string(index), 5, "{\"slots\":1e400}");
    }
    store.answer("/v1/objects/servers", R"({"items":[)" + items + R"(],"has_more":false,"store_revision":30})");
    const auto list = servers();
    REQUIRE(list.has_value());
    CHECK(list->servers.size() == 1);
    CHECK(list->faults.size() == 10000);
}

TEST_CASE_METHOD(StoreFixture, "the removal of an entry with a very long name is no change of a server", "[adapter][storediscovery][odd]")
{
    // Guards against a removal that is passed on and refused by all peers together with the other changes of its message.
    store.answer("/v1/objects/servers?watch=30&wait_ms=4000",
        R"({"events":[{"deleted":true,"object":)" + object("i-" + std::string(300, '1'), 31, "null") + R"(},{"deleted":true,"object":)"
            + object("i-2", 32, "null") + R"(}],"store_revision":32})");
    const auto changes = updates(30);
    REQUIRE(changes.has_value());
    REQUIRE(changes->updates.size() == 2);
    CHECK(changes->updates[0].fault.has_value());
    CHECK(changes->updates[1].unlisted.has_value());
}

TEST_CASE_METHOD(StoreFixture, "a list continues after a name of any characters", "[adapter][storediscovery][odd]")
{
    store.answer("/v1/objects/servers",
        R"({"items":[)" + object("i-1", 4, serverSpec()) + "," + object(R"(x\r\n&a=%/\u00e9)", 5, "7")
            + R"(],"has_more":true,"store_revision":30})");
    store.answer("/v1/objects/servers?after=x%0D%0A%26a%3D%25%2F%C3%A9",
        R"({"items":[)" + object("z-3", 6, serverSpec()) + R"(],"has_more":false,"store_revision":33})");
    const auto list = servers();
    REQUIRE(list.has_value());
    CHECK(list->servers.size() == 2);
}

TEST_CASE_METHOD(StoreFixture, "a list that can't be continued is an error and not a short list", "[adapter][storediscovery][odd]")
{
    // Guards against servers that count as removed because their page was never read.
    store.answer("/v1/objects/servers",
        R"({"items":[)" + object("i-1", 4, serverSpec()) + R"(,{"meta":{"name":7}}],"has_more":true,"store_revision":30})");
    const auto unnamed = servers();
    REQUIRE_FALSE(unnamed.has_value());
    CHECK(unnamed.error().kind() == ErrorKind::Malformed);
    store.answer("/v1/objects/servers", R"({"items":[)" + object("i-1", 4, serverSpec()) + R"(],"has_more":true,"store_revision":30})");
    store.answer(
        "/v1/objects/servers?after=i-1", R"({"items":[)" + object("i-1", 4, serverSpec()) + R"(],"has_more":true,"store_revision":30})");
    const auto repeated = servers();
    REQUIRE_FALSE(repeated.has_value());
    CHECK(repeated.error().kind() == ErrorKind::Malformed);
}

TEST_CASE_METHOD(StoreFixture, "a configuration with an unknown kind of request is in force", "[adapter][storediscovery][odd]")
{
    store.answer("/v1/objects/config",
        R"({"items":[)"
            + object("main", 6,
                R"({"version":7,"routes":[{"name":"r-1","hostname":"198.18.0.1","path_prefix":"/443/","kind":"relay","service":"pond"}],)"
                R"("services":[{"name":"pond"}],"limits":{"idle_timeout_ms":15000}})")
            + R"(],"has_more":false,"store_revision":30})");
    const auto read = configuration();
    REQUIRE(read.has_value());
    REQUIRE(read->configuration.has_value());
    CHECK(read->configuration->routes.size() == 1);
    CHECK(read->ignored.size() == 1);
}

TEST_CASE_METHOD(StoreFixture, "the configuration is found among any number of other objects of its kind", "[adapter][storediscovery][odd]")
{
    // Guards against an instance that takes a version that it knows for the newest, because the first page has none.
    const std::string others = object("a", 4, "{}") + "," + object("b", 5, "7");
    const std::string main = object("main", 6, configurationSpec());
    SECTION("on a later page")
    {
        store.answer("/v1/objects/config", R"({"items":[)" + others + R"(],"has_more":true,"store_revision":30})");
        store.answer("/v1/objects/config?after=b", R"({"items":[)" + main + R"(],"has_more":true,"store_revision":33})");
        const auto read = configuration();
        REQUIRE(read.has_value());
        REQUIRE(read->configuration.has_value());
        CHECK(read->configuration->position == StorePosition(0, 6));
        CHECK(read->position == StorePosition(0, 30));
    }
    SECTION("before one whose name can't be read")
    {
        const std::string items = others + "," + main + R"(,{"meta":{"name":7}})";
        store.answer("/v1/objects/config", R"({"items":[)" + items + R"(],"has_more":false,"store_revision":30})");
        const auto read = configuration();
        REQUIRE(read.has_value());
        CHECK(read->configuration.has_value());
        CHECK_FALSE(read->fault.has_value());
    }
    SECTION("the list can't be continued")
    {
        store.answer("/v1/objects/config", R"({"items":[{"meta":{"name":7}}],"has_more":true,"store_revision":30})");
        const auto read = configuration();
        REQUIRE_FALSE(read.has_value());
        CHECK(read.error().kind() == ErrorKind::Malformed);
    }
    SECTION("none")
    {
        store.answer("/v1/objects/config", R"({"items":[],"has_more":false,"store_revision":30})");
        const auto read = configuration();
        REQUIRE(read.has_value());
        CHECK_FALSE(read->configuration.has_value());
    }
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

TEST_CASE_METHOD(
    LateResponseFixture, "a second, late copy of a response is not taken for that of the next call", "[adapter][storediscovery][late]")
{
    // The store sends an earlier response again on a connection in use. Each further call would then get the response of the one before.
    const std::string list = R"({"items":[)" + object("i-1", 4, serverSpec()) + R"(],"has_more":false,"store_revision":30})";
    const std::string change = R"({"events":[{"deleted":false,"object":)" + object("i-2", 31, serverSpec()) + R"(}],"store_revision":31})";
    const std::string nothing = R"({"events":[],"store_revision":31})";
    responses.bodies = { list };
    REQUIRE(servers().has_value());
    SECTION("the copy of a list")
    {
        responses.bodies = { list };
        REQUIRE_FALSE(updates(30, milliseconds(0)).has_value());
        CHECK(responses.connections == 1);
    }
    SECTION("the copy of changes that were asked for before")
    {
        responses.bodies = { change };
        REQUIRE(updates(30, milliseconds(0)).has_value());
        responses.bodies = { change };
        const auto copy = updates(31, milliseconds(0));
        REQUIRE_FALSE(copy.has_value());
        CHECK(copy.error().kind() == ErrorKind::Malformed);
    }
    SECTION("the copy of a response with an earlier revision")
    {
        responses.bodies = { nothing };
        REQUIRE_FALSE(updates(40, milliseconds(0)).has_value());
    }
    SECTION("the copy of a response without changes, before the wait is over")
    {
        responses.bodies = { nothing };
        const auto copy = updates(30, milliseconds(60000));
        REQUIRE(copy.has_value());
        CHECK(copy->endedEarly);
    }
    // The next call doesn't use the connection on which the response of the one before may still arrive.
    responses.bodies = { change };
    const auto next = updates(30, milliseconds(0));
    REQUIRE(next.has_value());
    CHECK(next->updates.size() == 1);
    CHECK_FALSE(next->endedEarly);
    CHECK(responses.connections == 2);
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

TEST_CASE_METHOD(
    StoreFixture, "evacuations are read page by page, and odd entries cost no other one", "[adapter][storediscovery][evacuation]")
{
    store.setEra("3");
    store.answer("/v1/objects/evacuations",
        R"({"items":[)" + object("oslo-a", 4, "{}") + "," + object("oslo-b", 5, "[1e400]") + "," + object(std::string(300, 'x'), 6, "{}")
            + R"(,{"meta":{"name":7}},)" + object("oslo-c", 7, "7") + R"(],"has_more":true,"store_revision":30})");
    store.answer(
        "/v1/objects/evacuations?after=oslo-c", R"({"items":[)" + object("oslo-d", 8, "{}") + R"(],"has_more":false,"store_revision":33})");
    const auto list = evacuations();
    REQUIRE(list.has_value());
    CHECK(list->position == StorePosition(3, 30));
    CHECK(list->evacuations
        == std::vector<Evacuation> { { "oslo-a", { 3, 4 } }, { "oslo-b", { 3, 5 } }, { "oslo-c", { 3, 7 } }, { "oslo-d", { 3, 8 } } });
    CHECK(list->odd.size() == 4);
    CHECK_FALSE(list->isUnknownKind);
}

TEST_CASE_METHOD(
    StoreFixture, "changes of evacuations are returned in order, also those that can't be read", "[adapter][storediscovery][evacuation]")
{
    const std::string target = "/v1/objects/evacuations?watch=30&wait_ms=4000";
    store.answer(target,
        R"({"events":[{"deleted":false,"object":)" + object("oslo-a", 31, "null") + R"(},{"deleted":true,"object":)"
            + object("oslo-a", 32, "null") + R"(},{"deleted":true,"object":{}}],"store_revision":34})");
    const auto changes = evacuationUpdates(30);
    REQUIRE(changes.has_value());
    CHECK(changes->position == StorePosition(0, 34));
    CHECK(changes->updates == std::vector<EvacuationUpdate> { { "oslo-a", false, { 0, 31 } }, { "oslo-a", true, { 0, 32 } } });
    CHECK(changes->odd.size() == 2);
    store.answer(target, "{}", 410);
    CHECK(evacuationUpdates(30).error().kind() == ErrorKind::HistoryGone);
}

TEST_CASE_METHOD(
    StoreFixture, "a store that doesn't know evacuations has none, and that is no failure", "[adapter][storediscovery][evacuation]")
{
    store.setEra("2");
    store.answer("/v1/objects/evacuations", "no such kind", 404);
    store.answer("/v1/objects/evacuations?watch=30&wait_ms=4000", "no such kind", 404);
    const auto list = evacuations();
    REQUIRE(list.has_value());
    CHECK(list->isUnknownKind);
    CHECK(list->position.era() == 2);
    CHECK(evacuationUpdates(30).error().kind() == ErrorKind::HistoryGone); // so that the list is read
}
