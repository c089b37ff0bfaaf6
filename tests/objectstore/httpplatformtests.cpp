#include "objectstore/platformfixture.h"

using namespace Samphirepitch;
using namespace Samphirepitch::Testing;

namespace
{

const std::string mebibyte(1024 * 1024, 'm');

/** A client of a server that sends one fixed response. */
struct FixedResponseFixture {
    explicit FixedResponseFixture(const std::string &response)
    {
        asio::co_spawn(context, respondOnce(acceptor, response), asio::detached);
    }

    TimePoint deadlineIn(std::chrono::milliseconds duration) const
    {
        return clock.now() + duration;
    }

    asio::io_context context { 1 };
    SteadyClock clock;
    asio::ip::tcp::acceptor acceptor { context, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0) };
    std::unique_ptr<HttpPlatform> platform
        = HttpPlatform::create(context.get_executor(), clock, Endpoint(0x7f000001, acceptor.local_endpoint().port())).value();
};

ErrorKind readError(const std::string &response)
{
    FixedResponseFixture fixture(response);
    return await(fixture.context, fixture.platform->read("head", fixture.deadlineIn(testTimeout))).error().kind();
}

ErrorKind writeError(const std::string &response)
{
    FixedResponseFixture fixture(response);
    return await(fixture.context, fixture.platform->write("head", "x", 1, fixture.deadlineIn(testTimeout))).error().kind();
}

std::string emptyResponse(const std::string &line)
{
    return "HTTP/1.1 " + line + "\r\ncontent-length: 0\r\n\r\n";
}

} // namespace

TEST_CASE_METHOD(PlatformFixture, "a write fails unless the object has the expected version", "[objectstore][httpplatform]")
{
    CHECK(write("head", "one", Platform::mustNotExist) == 1);
    CHECK(write("head", "two", 1) == 2);
    CHECK(read("head") == PlatformObject { "head", "two", 2 });

    SECTION("the error of a conflict names the current version")
    {
        const auto conflict = write("head", "three", 1);
        REQUIRE_FALSE(conflict.has_value());
        CHECK(conflict.error().kind() == ErrorKind::VersionConflict);
        CHECK(conflict.error().detail() == "the current version is 2");
        CHECK(read("head")->body == "two");
    }

    SECTION("creating an object that exists is a conflict")
    {
        CHECK(write("head", "three", Platform::mustNotExist).error().kind() == ErrorKind::VersionConflict);
    }

    SECTION("updating an object that does not exist is a conflict")
    {
        CHECK(write("other", "three", 1).error().kind() == ErrorKind::VersionConflict);
        CHECK(read("other").error().kind() == ErrorKind::NotFound);
    }
}

TEST_CASE_METHOD(PlatformFixture, "a write whose response is lost has an unknown outcome", "[objectstore][httpplatform]")
{
    // Guards against reporting that a write had no effect although it took effect.
    SECTION("the write took effect")
    {
        standIn.setFaults({ .loseResponses = 1 });
        CHECK(write("head", "one", Platform::mustNotExist).error().kind() == ErrorKind::OutcomeUnknown);
        CHECK(read("head")->body == "one");
        CHECK(standIn.counters().writes == 1);
    }

    SECTION("the write did not take effect")
    {
        standIn.setFaults({ .dropWrites = 1 });
        CHECK(write("head", "one", Platform::mustNotExist).error().kind() == ErrorKind::OutcomeUnknown);
        CHECK(read("head").error().kind() == ErrorKind::NotFound);
    }

    SECTION("the outcome is unknown as well if the lost response was a conflict")
    {
        CHECK(write("head", "one", Platform::mustNotExist) == 1);
        standIn.setFaults({ .loseResponses = 1 });
        CHECK(write("head", "two", 7).error().kind() == ErrorKind::OutcomeUnknown);
        CHECK(read("head")->version == 1);
    }
}

TEST_CASE_METHOD(PlatformFixture, "calls during an outage fail as unavailable and have no effect", "[objectstore][httpplatform]")
{
    standIn.setFaults({ .outage = true });
    CHECK(write("head", "one", Platform::mustNotExist).error().kind() == ErrorKind::Unavailable);
    CHECK(read("head").error().kind() == ErrorKind::Unavailable);
    CHECK(await(context, platform->list("", testDeadline())).error().kind() == ErrorKind::Unavailable);
    CHECK(await(context, platform->instances(testDeadline())).error().kind() == ErrorKind::Unavailable);
    CHECK(standIn.counters().refusedByOutage == 4);
    CHECK(standIn.store().version("head") == 0);
}

TEST_CASE_METHOD(PlatformFixture, "reads and writes fail as unavailable if the connection is refused", "[objectstore][httpplatform]")
{
    server.reset();
    CHECK(write("head", "one", Platform::mustNotExist).error().kind() == ErrorKind::Unavailable);
    CHECK(read("head").error().kind() == ErrorKind::Unavailable);
}

TEST_CASE_METHOD(PlatformFixture, "calls above the rate limit are rejected until the next second", "[objectstore][httpplatform]")
{
    standIn.setFaults({ .writesPerSecond = 1, .readsPerSecond = 2 });
    CHECK(write("head", "one", Platform::mustNotExist) == 1);
    CHECK(write("head", "two", 1).error().kind() == ErrorKind::RateLimited);
    CHECK(read("head")->version == 1);
    CHECK(await(context, platform->list("", testDeadline())).has_value());
    CHECK(read("head").error().kind() == ErrorKind::RateLimited);
    CHECK(standIn.counters().rateLimited == 2);

    standInClock.advance(std::chrono::seconds(1));
    CHECK(write("head", "two", 1) == 2);
    CHECK(read("head")->version == 2);
    CHECK(standIn.counters().peakReads == 3);
}

TEST_CASE_METHOD(PlatformFixture, "a watch completes when the object changes", "[objectstore][httpplatform]")
{
    CHECK(write("head", "one", Platform::mustNotExist) == 1);

    SECTION("a watch with an outdated known version is answered immediately")
    {
        CHECK(await(context, platform->watch("head", 0, testDeadline())) == PlatformObject { "head", "one", 1 });
    }

    SECTION("on a write of the object, but not on a write of another one")
    {
        std::optional<Result<PlatformObject>> seen;
        asio::co_spawn(context, platform->watch("head", 1, testDeadline()),
            [&](std::exception_ptr, Result<PlatformObject> object) { seen = std::move(object); });
        CHECK(write("other", "x", Platform::mustNotExist) == 1);
        CHECK_FALSE(seen.has_value());
        CHECK(write("head", "two", 1) == 2);
        while (!seen) {
            REQUIRE(context.run_one_for(testTimeout) > 0);
        }
        CHECK(*seen == PlatformObject { "head", "two", 2 });
        CHECK(standIn.counters().watches == 1);
    }

    SECTION("when the object is created")
    {
        std::optional<Result<PlatformObject>> seen;
        asio::co_spawn(context, platform->watch("new", 0, testDeadline()),
            [&](std::exception_ptr, Result<PlatformObject> object) { seen = std::move(object); });
        CHECK(read("head")->version == 1);
        CHECK(write("new", "x", Platform::mustNotExist) == 1);
        while (!seen) {
            REQUIRE(context.run_one_for(testTimeout) > 0);
        }
        CHECK(*seen == PlatformObject { "new", "x", 1 });
    }

    SECTION("when an older copy of the object is restored")
    {
        standIn.store().takeSnapshot();
        CHECK(write("head", "two", 1) == 2);
        std::optional<Result<PlatformObject>> seen;
        asio::co_spawn(context, platform->watch("head", 2, testDeadline()),
            [&](std::exception_ptr, Result<PlatformObject> object) { seen = std::move(object); });
        CHECK(read("head")->version == 2);
        HttpRequest restore;
        restore.method = "POST";
        restore.target = "/standin/restore";
        CHECK(await(context, standIn.handle(restore))->status == 204);
        while (!seen) {
            REQUIRE(context.run_one_for(testTimeout) > 0);
        }
        CHECK(*seen == PlatformObject { "head", "one", 1 });
    }

    SECTION("with an error when an outage begins")
    {
        std::optional<Result<PlatformObject>> seen;
        asio::co_spawn(context, platform->watch("head", 1, testDeadline()),
            [&](std::exception_ptr, Result<PlatformObject> object) { seen = std::move(object); });
        CHECK(read("head")->version == 1);
        standIn.setFaults({ .outage = true });
        while (!seen) {
            REQUIRE(context.run_one_for(testTimeout) > 0);
        }
        CHECK(seen->error().kind() == ErrorKind::Unavailable);
    }

    SECTION("with an error at its deadline if there is no change")
    {
        const TimePoint deadline = steadyClock.now() + std::chrono::milliseconds(150);
        CHECK(await(context, platform->watch("head", 1, deadline)).error().kind() == ErrorKind::DeadlineExceeded);
    }
}

TEST_CASE_METHOD(PlatformFixture, "objects above 1 MB are refused", "[objectstore][httpplatform]")
{
    CHECK(write("large", mebibyte, Platform::mustNotExist) == 1);
    CHECK(read("large")->body == mebibyte);
    CHECK(write("large", mebibyte + 'x', 1).error().kind() == ErrorKind::TooLarge);

    // The platform also enforces the limit, for clients that do not check it.
    const std::string head = "PUT /v1/objects/large HTTP/1.1\r\nif-match: 1\r\nconnection: close\r\ncontent-length: 1048577\r\n\r\n";
    CHECK(await(context, rawExchange(server->address(), head + mebibyte + 'x')).starts_with("HTTP/1.1 413 "));
    CHECK(standIn.store().version("large") == 1);
}

TEST_CASE_METHOD(PlatformFixture, "invalid keys are refused before anything is sent", "[objectstore][httpplatform]")
{
    for (const std::string &key :
        { std::string(), std::string("a b"), std::string("A"), std::string("a?b"), std::string("a\r\nb"), std::string(201, 'a') }) {
        CHECK(write(key, "x", Platform::mustNotExist).error().kind() == ErrorKind::InvalidArgument);
        CHECK(read(key).error().kind() == ErrorKind::InvalidArgument);
    }
    CHECK(standIn.counters() == StandIn::CallCounters());
}

TEST_CASE_METHOD(PlatformFixture, "objects with arbitrary bytes are listed by prefix", "[objectstore][httpplatform]")
{
    std::string bytes;
    for (int value = 0; value < 256; ++value) {
        bytes += static_cast<char>(value);
    }
    CHECK(write("status/b", bytes, Platform::mustNotExist) == 1);
    CHECK(write("status/a", "", Platform::mustNotExist) == 1);
    CHECK(write("stat", "x", Platform::mustNotExist) == 1);
    CHECK(await(context, platform->list("status/", testDeadline()))
        == std::vector<PlatformObject> { { "status/a", "", 1 }, { "status/b", bytes, 1 } });
    CHECK(await(context, platform->list("none", testDeadline())) == std::vector<PlatformObject>());
}

TEST_CASE_METHOD(PlatformFixture, "the instance list of the stand-in shows changes after the configured lag", "[objectstore][httpplatform]")
{
    const ListedInstance instance { "i-1", "okene", Endpoint(0x7f000001, 1), Endpoint(0x7f000001, 2), true };
    standIn.setFaults({ .instanceLag = std::chrono::seconds(2) });
    standIn.instances().put(instance, standInClock.now());
    CHECK(await(context, platform->instances(testDeadline())) == std::vector<ListedInstance>());
    standInClock.advance(std::chrono::seconds(2));
    CHECK(await(context, platform->instances(testDeadline())) == std::vector<ListedInstance> { instance });
    standIn.instances().remove("i-1", standInClock.now());
    CHECK(await(context, platform->instances(testDeadline()))->size() == 1);
    standInClock.advance(std::chrono::seconds(2));
    CHECK(await(context, platform->instances(testDeadline()))->empty());
}

TEST_CASE_METHOD(PlatformFixture, "lists above the size limit of a response are read in pages", "[objectstore][httpplatform]")
{
    // 7,600 instances, the planned maximum, take more than 1 MB of JSON.
    for (int index = 0; index < 7600; ++index) {
        const std::string id = "region-1-domain-03-instance-" + std::to_string(10000 + index);
        standIn.instances().put(
            { id, "region-1-domain-03", Endpoint(0x7f000001, 10000), Endpoint(0x7f000001, 10001), false }, standInClock.now());
    }
    const auto instances = await(context, platform->instances(testDeadline()));
    REQUIRE(instances.has_value());
    CHECK(instances->size() == 7600);
    CHECK(instances->back().id == "region-1-domain-03-instance-17599");
    CHECK(standIn.counters().instanceLists > 1);

    CHECK(write("part/a", mebibyte.substr(0, 700000), Platform::mustNotExist) == 1);
    CHECK(write("part/b", mebibyte.substr(0, 700000), Platform::mustNotExist) == 1);
    CHECK(write("part/c", "c", Platform::mustNotExist) == 1);
    CHECK(await(context, platform->list("part/", testDeadline()))->size() == 3);

    SECTION("an object whose base64 exceeds the size limit of a response cannot be listed")
    {
        CHECK(write("part/d", mebibyte, Platform::mustNotExist) == 1);
        CHECK(await(context, platform->list("part/", testDeadline())).error().kind() == ErrorKind::TooLarge);
    }
}

TEST_CASE("a list whose position does not advance is refused", "[objectstore][httpplatform]")
{
    // Guards against an endless loop if the platform is faulty.
    const std::string next = GENERATE(as<std::string>(), "", "A", "a b");
    FixedResponseFixture fixture("HTTP/1.1 200 OK\r\nnext-after: " + next + "\r\ncontent-length: 2\r\n\r\n[]");
    CHECK(await(fixture.context, fixture.platform->instances(fixture.deadlineIn(testTimeout))).error().kind() == ErrorKind::Malformed);
}

TEST_CASE_METHOD(
    PlatformFixture, "connections are reused between calls and replaced after the server closed them", "[objectstore][httpplatform]")
{
    CHECK(write("head", "one", Platform::mustNotExist) == 1);
    CHECK(read("head")->version == 1);
    CHECK(server->connectionCount() == 1);

    // Guards against the unknown outcome of a write on a connection that the server has closed.
    const Endpoint address = server->address();
    server.reset();
    context.restart();
    context.poll();
    server = HttpServer::listen(context.get_executor(), address, standIn).value();
    CHECK(write("head", "two", 1) == 2);
}

TEST_CASE("each HTTP status is mapped to an error kind", "[objectstore][httpplatform]")
{
    CHECK(readError(emptyResponse("400 Bad Request")) == ErrorKind::InvalidArgument);
    CHECK(readError(emptyResponse("404 Not Found")) == ErrorKind::NotFound);
    CHECK(readError(emptyResponse("429 Too Many Requests")) == ErrorKind::RateLimited);
    CHECK(readError(emptyResponse("503 Service Unavailable")) == ErrorKind::Unavailable);
    CHECK(readError(emptyResponse("500 Internal Server Error")) == ErrorKind::Malformed);
    CHECK(readError(emptyResponse("412 Precondition Failed")) == ErrorKind::Malformed);
    CHECK(writeError(emptyResponse("400 Bad Request")) == ErrorKind::InvalidArgument);
    CHECK(writeError(emptyResponse("412 Precondition Failed")) == ErrorKind::VersionConflict);
    CHECK(writeError(emptyResponse("413 Payload Too Large")) == ErrorKind::TooLarge);
    CHECK(writeError(emptyResponse("429 Too Many Requests")) == ErrorKind::RateLimited);
    CHECK(writeError(emptyResponse("503 Service Unavailable")) == ErrorKind::Unavailable);
    CHECK(writeError(emptyResponse("500 Internal Server Error")) == ErrorKind::OutcomeUnknown);
    CHECK(writeError(emptyResponse("404 Not Found")) == ErrorKind::OutcomeUnknown);
}

TEST_CASE("an unreadable response is malformed for a read and an unknown outcome for a write", "[objectstore][httpplatform]")
{
    const std::string response = GENERATE(as<std::string>(), "nonsense\r\n\r\n", "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\netag: \"x\"\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: -1\r\n\r\n");
    CHECK(readError(response) == ErrorKind::Malformed);
    CHECK(writeError(response) == ErrorKind::OutcomeUnknown);
}

TEST_CASE("responses above the limits are refused", "[objectstore][httpplatform]")
{
    SECTION("by the content-length, before the body is received")
    {
        CHECK(readError("HTTP/1.1 200 OK\r\netag: \"1\"\r\ncontent-length: 1052673\r\n\r\n") == ErrorKind::TooLarge);
    }
    SECTION("by the number of bytes of a chunked body")
    {
        CHECK(
            readError("HTTP/1.1 200 OK\r\netag: \"1\"\r\ntransfer-encoding: chunked\r\n\r\n101001\r\n" + mebibyte + std::string(4097, 'x'))
            == ErrorKind::TooLarge);
    }
    SECTION("an object above 1 MB")
    {
        CHECK(readError("HTTP/1.1 200 OK\r\netag: \"1\"\r\ncontent-length: 1048577\r\n\r\n" + mebibyte + 'x') == ErrorKind::TooLarge);
    }
    SECTION("by the size of the header")
    {
        CHECK(readError("HTTP/1.1 200 OK\r\nlong: " + std::string(17000, 'x') + "\r\n\r\n") == ErrorKind::TooLarge);
    }
}

TEST_CASE("calls end at their deadline if the server does not respond", "[objectstore][httpplatform]")
{
    FixedResponseFixture fixture("");
    const TimePoint deadline = fixture.deadlineIn(std::chrono::milliseconds(50));

    SECTION("a read fails without effect")
    {
        CHECK(await(fixture.context, fixture.platform->read("head", deadline)).error().kind() == ErrorKind::DeadlineExceeded);
    }
    SECTION("a write has an unknown outcome")
    {
        CHECK(await(fixture.context, fixture.platform->write("head", "x", 1, deadline)).error().kind() == ErrorKind::OutcomeUnknown);
    }
    SECTION("nothing is sent after the deadline of a write")
    {
        const TimePoint past = fixture.clock.now();
        CHECK(await(fixture.context, fixture.platform->write("head", "x", 1, past)).error().kind() == ErrorKind::DeadlineExceeded);
    }
}
