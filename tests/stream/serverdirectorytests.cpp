#include "core/random.h"
#include "stream/routerfixture.h"
#include "stream/serverdirectory.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

using namespace Samphirepitch;
using namespace Samphirepitch::Tests;

namespace
{

const TimePoint start = TimePoint() + std::chrono::seconds(100);

std::string describe(const DirectoryChanges &changes)
{
    std::string text;
    for (const DirectoryChange &change : changes) {
        text += std::string(directoryChangeName(change.kind)) + ' ' + change.record->server.id + ';';
    }
    return text;
}

StreamServer withRevision(StreamServer server, std::uint64_t revision)
{
    server.position = { 0, revision };
    return server;
}

} // namespace

TEST_CASE("tokens are the same on every instance and differ between servers", "[stream][directory]")
{
    CHECK(ServerDirectory::tokenOf(RouterFixture::server(1)) == ServerDirectory::tokenOf(RouterFixture::server(1)));
    CHECK(ServerDirectory::tokenOf(RouterFixture::server(1)) != ServerDirectory::tokenOf(RouterFixture::server(2)));
    // Ids have more bits than tokens, so the upper digits have to affect the token.
    CHECK(ServerDirectory::tokenOf(RouterFixture::server(0x1000000001)) != ServerDirectory::tokenOf(RouterFixture::server(0x2000000001)));
}

TEST_CASE("a complete list adds and removes servers", "[stream][directory]")
{
    ServerDirectory directory;
    CHECK(describe(directory.replaceAll({ RouterFixture::server(1), RouterFixture::server(2) }, {}, { 0, 10 }, start))
        == "added i-1;added i-2;");
    CHECK(directory.listed("pond").size() == 2);
    CHECK(describe(directory.replaceAll({ RouterFixture::server(2) }, {}, { 0, 12 }, start)) == "removed i-1;");
    CHECK(directory.listed("pond").size() == 1);
    CHECK(directory.position() == StorePosition(0, 12));
}

TEST_CASE("an unlisted server stays known as long as a flow may last", "[stream][directory]")
{
    // An entry may expire while its server still runs, and packets of its flows still carry its token.
    ServerDirectory directory;
    directory.replaceAll({ RouterFixture::server(1) }, {}, { 0, 10 }, start);
    directory.remove("i-1", { 0, 11 }, start);
    directory.expire(start + ServerDirectory::retention - std::chrono::seconds(1));
    REQUIRE(directory.findToken(ServerDirectory::tokenOf(RouterFixture::server(1))) != nullptr);
    CHECK_FALSE(directory.findToken(ServerDirectory::tokenOf(RouterFixture::server(1)))->listed);
    CHECK(directory.expire(start + ServerDirectory::retention)
        == std::vector<std::uint32_t> { ServerDirectory::tokenOf(RouterFixture::server(1)) });
    CHECK(directory.findToken(ServerDirectory::tokenOf(RouterFixture::server(1))) == nullptr);
}

TEST_CASE("an older revision never replaces a newer one", "[stream][directory]")
{
    ServerDirectory directory;
    directory.replaceAll({ withRevision(RouterFixture::server(1), 20) }, {}, { 0, 30 }, start);
    StreamServer stale = withRevision(RouterFixture::server(1), 19);
    stale.phase = ServerPhase::Draining;
    CHECK(directory.update(stale).empty());
    CHECK(directory.replaceAll({}, {}, { 0, 29 }, start).empty());
    directory.advancePosition({ 0, 28 });
    CHECK(directory.position() == StorePosition(0, 30));
    CHECK(directory.remove("i-1", { 0, 19 }, start).empty());
    CHECK(directory.listed("pond").front()->server.phase == ServerPhase::Ready);
}

TEST_CASE("changes after a revision bring another directory up to date", "[stream][directory]")
{
    // With 300 instances and 3,000 servers, complete lists for each change were most of the traffic between instances.
    ServerDirectory source;
    source.replaceAll({ RouterFixture::server(1), RouterFixture::server(2), RouterFixture::server(3) }, {}, { 0, 10 }, start);
    ServerDirectory copy;
    for (const ServerUpdate &entry : source.completeList()) {
        copy.update(*entry.listed);
    }
    copy.advancePosition({ 0, 10 });
    StreamServer draining = withRevision(RouterFixture::server(1), 11);
    draining.phase = ServerPhase::Draining;
    source.update(draining);
    source.remove("i-2", { 0, 12 }, start);
    source.advancePosition({ 0, 12 });
    const auto changes = source.changesAfter({ 0, 10 });
    REQUIRE(changes.has_value());
    CHECK(changes->size() == 2);
    for (const ServerUpdate &change : *changes) {
        if (change.listed) {
            copy.update(*change.listed);
        } else {
            copy.remove(*change.unlisted, change.position, start);
        }
    }
    CHECK(copy.findId("i-1")->server.phase == ServerPhase::Draining);
    CHECK(copy.listed("pond").size() == 2);
}

TEST_CASE("no changes are returned from before a removal that is forgotten", "[stream][directory]")
{
    ServerDirectory source;
    source.replaceAll({ RouterFixture::server(1), RouterFixture::server(2) }, {}, { 0, 10 }, start);
    source.remove("i-2", { 0, 12 }, start);
    source.advancePosition({ 0, 12 });
    CHECK(source.changesAfter({ 0, 11 }).has_value());
    source.expire(start + ServerDirectory::retention);
    CHECK_FALSE(source.changesAfter({ 0, 11 }).has_value());
    CHECK(source.changesAfter({ 0, 12 }).has_value());
    CHECK_FALSE(source.changesAfter({ 0, 0 }).has_value());
    CHECK(source.completeList().size() == 1);
}

TEST_CASE("an unreadable entry keeps what is known of its server", "[stream][directory]")
{
    ServerDirectory directory;
    directory.replaceAll({ RouterFixture::server(1) }, {}, { 0, 10 }, start);
    CHECK(directory.replaceAll({}, { "i-1" }, { 0, 12 }, start).empty());
    CHECK(directory.listed("pond").size() == 1);
}

TEST_CASE("an entry of a service that is not in use changes nothing about the servers", "[stream][directory][odd]")
{
    // Guards against another writer's entries that end a running server, or keep it from getting flows.
    ServerDirectory directory;
    directory.useServices({ "pond" });
    directory.replaceAll({ RouterFixture::server(1) }, {}, { 0, 10 }, start);
    const DirectoryRecord *const server = directory.findId("i-1");
    StreamServer odd = withRevision(RouterFixture::server(1), 12);
    odd.service = "agent";
    SECTION("at the address of a server, with a later start")
    {
        odd.id = "x-2";
        odd.number = 2;
        odd.startedAt = 9000;
    }
    SECTION("as a copy under another name")
    {
        odd.id = "copy-of-i-1";
    }
    SECTION("under the id of a server, with another start and address")
    {
        odd.startedAt = 9000;
        odd.address = Endpoint(0x0a020001, 8080);
    }
    SECTION("under the id of a server, draining")
    {
        odd.phase = ServerPhase::Draining;
    }
    CHECK(directory.update(odd).empty());
    CHECK(directory.unused().size() == 1);
    CHECK(directory.findId("i-1") == server);
    CHECK(server->listed);
    CHECK_FALSE(server->tokenTaken);
    CHECK(server->server.address == RouterFixture::server(1).address);
    CHECK(server->server.phase == ServerPhase::Ready);
    CHECK(directory.findToken(ServerDirectory::tokenOf(RouterFixture::server(1))) == server);
    CHECK(directory.listed("pond").size() == 1);
    CHECK(directory.listed("agent").empty());
    CHECK(directory.unlisted("agent").empty());
    CHECK(directory.all().size() == 1);
    CHECK_FALSE(directory.isAddressReused(*server));
    if (odd.id != "i-1") {
        CHECK(directory.remove(odd.id, { 0, 13 }, start).empty());
        CHECK(directory.unused().empty());
        CHECK(directory.findToken(ServerDirectory::tokenOf(RouterFixture::server(1))) == server);
    }
    // The server's own next report, or its removal, counts.
    StreamServer draining = withRevision(RouterFixture::server(1), 14);
    draining.phase = ServerPhase::Draining;
    CHECK(describe(directory.update(draining)) == "changed i-1;");
    CHECK(describe(directory.remove("i-1", { 0, 15 }, start)) == "removed i-1;");
    CHECK(directory.unused().empty());
}

TEST_CASE("an entry names a server from when its service comes into use", "[stream][directory][odd]")
{
    ServerDirectory directory;
    directory.useServices({ "pond" });
    StreamServer tile = RouterFixture::server(2);
    tile.service = "tile";
    directory.replaceAll({ RouterFixture::server(1), tile }, {}, { 0, 10 }, start);
    CHECK(directory.listed("tile").empty());
    CHECK(describe(directory.useServices({ "tile" })) == "added i-2;");
    CHECK(directory.listed("tile").size() == 1);
    CHECK(directory.unused().empty());
    // A service stays in use, because its servers may still have flows.
    CHECK(directory.useServices({ "pond" }).empty());
    CHECK(directory.listed("tile").size() == 1);
}

TEST_CASE("other instances are told of entries of services that are not in use", "[stream][directory][odd]")
{
    // Another instance may know a later configuration, which uses the service.
    ServerDirectory directory;
    directory.useServices({ "pond" });
    StreamServer tile = withRevision(RouterFixture::server(2), 12);
    tile.service = "tile";
    directory.replaceAll({ RouterFixture::server(1) }, {}, { 0, 10 }, start);
    directory.update(tile);
    directory.advancePosition({ 0, 12 });
    REQUIRE(directory.changesAfter({ 0, 10 }).has_value());
    REQUIRE(directory.changesAfter({ 0, 10 })->size() == 1);
    CHECK(directory.changesAfter({ 0, 10 })->front().listed == tile);
    CHECK(directory.changesAfter({ 0, 12 })->empty());
    CHECK(directory.completeList().size() == 2);
    // The directory keeps no record of the removal, so that the complete list is needed after it.
    directory.remove("i-2", { 0, 14 }, start);
    CHECK_FALSE(directory.changesAfter({ 0, 12 }).has_value());
    CHECK(directory.completeList().size() == 1);
    // An entry that is missing from a complete list is gone, too.
    directory.update(withRevision(tile, 16));
    REQUIRE(directory.unused().size() == 1);
    directory.replaceAll({ withRevision(RouterFixture::server(1), 5) }, {}, { 0, 18 }, start);
    CHECK(directory.unused().empty());
}

TEST_CASE("many entries that are written at once rebuild the indexes once", "[stream][directory][odd][load]")
{
    // Load pattern: another writer adds 10,000 entries at once. Guards against an instance that stands still for seconds meanwhile, and
    // then places the packets that have waited by an old list.
    constexpr std::uint64_t entryCount = 10'000;
    ServerDirectory directory;
    directory.useServices({ "pond" });
    directory.replaceAll({ RouterFixture::server(1) }, {}, { 0, 10 }, start);
    const std::string service = GENERATE("agent", "pond");
    std::vector<ServerUpdate> added;
    std::vector<ServerUpdate> removed;
    for (std::uint64_t number = 0; number < entryCount; ++number) {
        StreamServer entry = withRevision(RouterFixture::server(100 + number), 11 + number);
        entry.service = service;
        entry.address = RouterFixture::server(1).address;
        entry.startedAt = static_cast<std::int64_t>(9000 + number);
        added.push_back({ .listed = entry, .unlisted = {}, .fault = {}, .position = entry.position });
        removed.push_back({ .listed = {}, .unlisted = entry.id, .fault = {}, .position = { 0, 20'000 + number } });
    }
    const std::uint64_t rebuilds = directory.rebuildCount();
    const bool isUsed = service == "pond";
    // The first entries at the address claim it. So many at one address are no evidence about any of them.
    CHECK(directory.apply(added, start).size() < (isUsed ? entryCount + 100 : 1));
    CHECK(directory.rebuildCount() <= rebuilds + (isUsed ? 1 : 0));
    CHECK(directory.listed("pond").size() == (isUsed ? entryCount + 1 : 1));
    CHECK(directory.apply(removed, start).size() == (isUsed ? entryCount : 0));
    CHECK(directory.rebuildCount() <= rebuilds + (isUsed ? 2 : 0));
    CHECK(directory.listed("pond").size() == 1);
    CHECK(directory.unused().empty());
}

TEST_CASE("incarnations with the same id differ by their start time", "[stream][directory]")
{
    ServerDirectory directory;
    directory.replaceAll({ RouterFixture::server(1) }, {}, { 0, 10 }, start);
    StreamServer next = withRevision(RouterFixture::server(1), 11);
    next.startedAt = 2000;
    CHECK(describe(directory.update(next)) == "restarted i-1;");
}

TEST_CASE("a later server with the same address claims it, and the earlier one stays listed until it has ended", "[stream][directory]")
{
    // Guards against another writer's entry that ends a running server: only the server's own entry and connections show its end.
    ServerDirectory directory;
    directory.replaceAll({ RouterFixture::server(1) }, {}, { 0, 10 }, start);
    StreamServer successor = withRevision(RouterFixture::server(2), 11);
    successor.address = RouterFixture::server(1).address;
    successor.startedAt = 4000;
    CHECK(describe(directory.update(successor)) == "added i-2;address_claimed i-1;");
    CHECK(directory.listed("pond").size() == 2);
    SECTION("an entry that changes claims the address only once")
    {
        successor.position = { 0, 12 };
        successor.slots = 4;
        CHECK(describe(directory.update(successor)) == "changed i-2;");
    }
    SECTION("an entry of the earlier server that is older than the claim doesn't refute it")
    {
        StreamServer late = withRevision(RouterFixture::server(1), 10);
        late.slots = 4;
        CHECK(describe(directory.update(late)) == "changed i-1;address_claimed i-1;");
    }
    SECTION("an entry of the earlier server that is newer than the claim refutes it")
    {
        StreamServer later = withRevision(RouterFixture::server(1), 12);
        later.slots = 4;
        CHECK(describe(directory.update(later)) == "changed i-1;");
    }
    SECTION("the entry of an ended server doesn't list it again unless it is written again")
    {
        directory.recordEnd("i-1", start);
        CHECK(directory.listed("pond").size() == 1);
        CHECK(directory.replaceAll({ RouterFixture::server(1), successor }, {}, { 0, 12 }, start).empty());
        CHECK(directory.listed("pond").size() == 1);
        CHECK(describe(directory.update(withRevision(RouterFixture::server(1), 13))) == "added i-1;");
    }
}

TEST_CASE("two servers with the same address both stay listed if their order is unknown", "[stream][directory]")
{
    // An entry without a start time must not end a running server.
    ServerDirectory directory;
    directory.replaceAll({ RouterFixture::server(1) }, {}, { 0, 10 }, start);
    StreamServer other = withRevision(RouterFixture::server(2), 11);
    other.address = RouterFixture::server(1).address;
    other.startedAt = 0;
    CHECK(describe(directory.update(other)) == "added i-2;");
}

TEST_CASE("of two servers with the same token, the same one gets flows on every instance", "[stream][directory]")
{
    std::map<std::uint32_t, std::uint64_t> numbers;
    std::uint64_t number = 1;
    while (numbers.emplace(ServerDirectory::tokenOf(RouterFixture::server(number)), number).second) {
        ++number;
    }
    const StreamServer later = RouterFixture::server(number);
    const StreamServer earlier = RouterFixture::server(numbers.at(ServerDirectory::tokenOf(later)));
    const StreamServer &first = std::min(earlier.id, later.id) == earlier.id ? earlier : later;
    const StreamServer &second = &first == &earlier ? later : earlier;
    CAPTURE(first.id, second.id);
    ServerDirectory directory;
    directory.update(second);
    directory.update(first);
    CHECK_FALSE(directory.findId(first.id)->tokenTaken);
    CHECK(directory.findId(second.id)->tokenTaken);
    CHECK(directory.findToken(ServerDirectory::tokenOf(first))->server.id == first.id);
}

TEST_CASE("entries of one process have tokens of their own, and none takes flows once one of them drains", "[stream][directory][odd]")
{
    // Guards against flows on a draining server, through a copy of its entry that another writer made before.
    ServerDirectory directory;
    const StreamServer server = RouterFixture::server(1);
    StreamServer copy = withRevision(server, 11);
    copy.id = "copy-of-i-1";
    directory.replaceAll({ server }, {}, { 0, 10 }, start);
    CHECK(describe(directory.update(copy)) == "added copy-of-i-1;");
    CHECK(ServerDirectory::tokenOf(copy) != ServerDirectory::tokenOf(server));
    CHECK(directory.findTwin(*directory.findId("i-1")) == directory.findId(copy.id));
    CHECK_FALSE(directory.isAddressReused(*directory.findId("i-1")));
    CHECK(directory.findId(copy.id)->takesFlows);
    StreamServer draining = withRevision(server, 12);
    draining.phase = ServerPhase::Draining;
    directory.update(draining);
    CHECK_FALSE(directory.findId("i-1")->takesFlows);
    CHECK_FALSE(directory.findId(copy.id)->takesFlows);
    directory.remove("i-1", { 0, 13 }, start);
    CHECK_FALSE(directory.findId(copy.id)->takesFlows);
    // An incarnation that started later, or that runs elsewhere, is another process.
    StreamServer restarted = withRevision(copy, 14);
    restarted.startedAt = 9000;
    directory.update(restarted);
    CHECK(directory.findId(copy.id)->takesFlows);
    CHECK(directory.findTwin(*directory.findId("i-1")) == nullptr);
}

TEST_CASE("an outdated copy of an entry takes no flows", "[stream][directory][odd]")
{
    // Guards against new flows in an evacuated domain: the copy still named the domain in which the server had run before it started again.
    ServerDirectory directory;
    StreamServer copy = RouterFixture::server(1);
    copy.id = "copy-of-i-1";
    StreamServer restarted = RouterFixture::server(1, "b");
    restarted.startedAt = 5000;
    SECTION("the copy is older in the store")
    {
        copy.position = { 0, 4 };
    }
    SECTION("the copy is newer in the store")
    {
        copy.position = { 0, 9 };
    }
    directory.replaceAll({ copy, restarted }, {}, { 0, 10 }, start);
    CHECK_FALSE(directory.findId(copy.id)->takesFlows);
    CHECK(directory.hasLaterEntry(*directory.findId(copy.id)));
    CHECK(directory.findId("i-1")->takesFlows);
    CHECK_FALSE(directory.hasLaterEntry(*directory.findId("i-1")));
    // A server with another number at the address is another process, and an entry that is no longer listed says nothing.
    StreamServer other = withRevision(RouterFixture::server(2), 11);
    other.address = copy.address;
    other.startedAt = 9000;
    directory.update(other);
    CHECK(directory.findId("i-1")->takesFlows);
    directory.remove("i-1", { 0, 12 }, start);
    CHECK(directory.findId(copy.id)->takesFlows);
}

TEST_CASE("a server that has moved no longer owns its previous address", "[stream][directory]")
{
    // Guards the index of addresses: a new server at the previous address must not end the server that has moved.
    ServerDirectory directory;
    directory.replaceAll({ RouterFixture::server(1) }, {}, { 0, 10 }, start);
    StreamServer moved = withRevision(RouterFixture::server(1), 11);
    moved.address = Endpoint(0x0a020001, 8080);
    directory.update(moved);
    StreamServer successor = withRevision(RouterFixture::server(2), 12);
    successor.address = RouterFixture::server(1).address;
    successor.startedAt = 4000;
    CHECK(describe(directory.update(successor)) == "added i-2;");
    CHECK(directory.listed("pond").size() == 2);
}

TEST_CASE("every index reflects all changes of entries", "[stream][directory]")
{
    // Indexes are rebuilt only for changes that concern them. A missed rebuild would place flows on servers that have moved or left.
    constexpr std::uint64_t count = 8;
    SeededRandom random(20261204);
    ServerDirectory directory;
    TimePoint now = start;
    std::uint64_t revision = 10;
    const auto contains = [](const std::vector<const DirectoryRecord *> &records, const DirectoryRecord *record) {
        return std::count(records.begin(), records.end(), record) == 1;
    };
    for (int round = 0; round < 400; ++round) {
        StreamServer server = RouterFixture::server(1 + random.below(count), random.below(2) == 0 ? "a" : "b");
        server.service = random.below(4) == 0 ? "tile" : "pond";
        server.phase = random.below(2) == 0 ? ServerPhase::Ready : ServerPhase::Draining;
        server.startedAt = 1000 + static_cast<std::int64_t>(random.below(3));
        server.position = { 0, ++revision };
        if (random.below(4) == 0) {
            directory.remove(server.id, { 0, revision }, now);
        } else {
            directory.update(server);
        }
        now += std::chrono::seconds(random.below(10));
        directory.expire(now);
        for (std::uint64_t number = 1; number <= count; ++number) {
            const DirectoryRecord *const record = directory.findId(RouterFixture::server(number).id);
            if (record == nullptr) {
                continue;
            }
            REQUIRE(directory.findToken(record->token) == record);
            for (const std::string service : { "pond", "tile" }) {
                const bool isOfService = record->server.service == service;
                REQUIRE(contains(directory.listed(service), record) == (isOfService && record->listed));
                REQUIRE(contains(directory.unlisted(service), record) == (isOfService && !record->listed));
                for (const std::string domain : { "a", "b" }) {
                    const bool isListedThere = isOfService && record->listed && record->server.failureDomain == domain;
                    REQUIRE(contains(directory.listedIn(domain, service), record) == isListedThere);
                }
            }
        }
    }
}

TEST_CASE("a directory returns no changes from before its first complete list", "[stream][directory]")
{
    // A server that was removed before the list has no record. An instance that got the changes without this removal would keep the server
    // listed.
    ServerDirectory source;
    source.replaceAll({ RouterFixture::server(1) }, {}, { 0, 10 }, start);
    CHECK_FALSE(source.changesAfter({ 0, 9 }).has_value());
    CHECK(source.changesAfter({ 0, 10 }).has_value());
    source.remove("i-1", { 0, 11 }, start);
    source.advancePosition({ 0, 11 });
    CHECK_FALSE(source.changesAfter({ 0, 9 }).has_value());
    REQUIRE(source.changesAfter({ 0, 10 }).has_value());
    CHECK(source.changesAfter({ 0, 10 })->size() == 1);
}

TEST_CASE("a directory returns no changes from before a later complete list", "[stream][directory]")
{
    // Guards against an ended server that stays listed at other instances: it was added and removed between two lists.
    ServerDirectory source;
    source.replaceAll({ RouterFixture::server(1) }, {}, { 0, 10 }, start);
    source.replaceAll({ RouterFixture::server(1) }, {}, { 0, 20 }, start);
    CHECK_FALSE(source.changesAfter({ 0, 15 }).has_value());
    CHECK(source.changesAfter({ 0, 20 }).has_value());
}

TEST_CASE("the removal of a server that a directory doesn't list is not lost for others", "[stream][directory]")
{
    // Guards against an ended server that stays listed at an instance that asks for the changes.
    ServerDirectory source;
    source.replaceAll({ RouterFixture::server(1) }, {}, { 0, 10 }, start);
    SECTION("the server is unknown")
    {
        source.remove("i-2", { 0, 12 }, start);
        CHECK_FALSE(source.changesAfter({ 0, 11 }).has_value());
    }
    SECTION("the server is unlisted already")
    {
        source.remove("i-1", { 0, 11 }, start);
        source.remove("i-1", { 0, 13 }, start);
        REQUIRE(source.changesAfter({ 0, 12 }).has_value());
        CHECK(source.changesAfter({ 0, 12 })->size() == 1);
    }
}

TEST_CASE("a second list of an era doesn't list an ended incarnation again", "[stream][directory][era]")
{
    // Guards against flows at the address of another server after a further complete list of the copy.
    ServerDirectory directory;
    StreamServer successor = withRevision(RouterFixture::server(2), 55);
    successor.address = RouterFixture::server(1).address;
    successor.startedAt = 2000;
    directory.replaceAll({ withRevision(RouterFixture::server(1), 50) }, {}, { 0, 52 }, start);
    directory.update(successor);
    SECTION("its entry was removed")
    {
        directory.remove("i-1", { 0, 56 }, start);
    }
    SECTION("its end was proven")
    {
        directory.recordEnd("i-1", start);
    }
    REQUIRE_FALSE(directory.findId("i-1")->listed);
    StreamServer copied = RouterFixture::server(1);
    copied.position = { 1, 5 };
    directory.replaceAll({ copied }, {}, { 1, 20 }, start);
    CHECK_FALSE(directory.findId("i-1")->listed);
    directory.replaceAll({ copied }, {}, { 1, 21 }, start);
    CHECK_FALSE(directory.findId("i-1")->listed);
}

TEST_CASE("a complete list of a newer era replaces one with higher revisions, and never the other way round", "[stream][directory][era]")
{
    // Guards against drains, restarts and new servers that are missed after the store returned from an older copy.
    ServerDirectory directory;
    directory.replaceAll({ withRevision(RouterFixture::server(1), 55), withRevision(RouterFixture::server(2), 56) }, {}, { 0, 60 }, start);
    StreamServer restarted = RouterFixture::server(1);
    restarted.startedAt = 2000;
    restarted.position = { 1, 18 };
    StreamServer added = RouterFixture::server(3);
    added.position = { 1, 19 };
    CHECK(describe(directory.replaceAll({ restarted, added }, {}, { 1, 20 }, start)) == "restarted i-1;added i-3;removed i-2;");
    CHECK(directory.position() == StorePosition(1, 20));
    CHECK(directory.replaceAll({}, {}, { 0, 90 }, start).empty());
    CHECK(directory.update(withRevision(RouterFixture::server(1), 90)).empty());
    CHECK(directory.remove("i-1", { 0, 90 }, start).empty());
    directory.advancePosition({ 0, 90 });
    CHECK(directory.position() == StorePosition(1, 20));
}

TEST_CASE("no changes are returned for a position of another era", "[stream][directory][era]")
{
    // Guards against an instance that applies changes of the returned store on top of the entries from before.
    ServerDirectory directory;
    directory.replaceAll({ withRevision(RouterFixture::server(1), 55) }, {}, { 0, 60 }, start);
    StreamServer copied = RouterFixture::server(1);
    copied.position = { 1, 5 };
    directory.replaceAll({ copied }, {}, { 1, 70 }, start);
    CHECK_FALSE(directory.changesAfter({ 0, 60 }).has_value());
    CHECK(directory.changesAfter({ 1, 70 }).has_value());
}

TEST_CASE("an earlier incarnation in an old copy doesn't replace the one that has started since", "[stream][directory][era]")
{
    // Guards against packets that are sent with the token and to the address of an incarnation that has ended.
    ServerDirectory directory;
    StreamServer current = withRevision(RouterFixture::server(1), 55);
    current.startedAt = 2000;
    directory.replaceAll({ current }, {}, { 0, 60 }, start);
    StreamServer earlier = RouterFixture::server(1);
    earlier.position = { 1, 5 };
    CHECK(directory.replaceAll({ earlier }, {}, { 1, 20 }, start).empty());
    REQUIRE(directory.position() == StorePosition(1, 20));
    CHECK(directory.findId("i-1")->server.startedAt == 2000);
    CHECK(directory.findId("i-1")->listed);
    // Other instances get the entry with a position of the era of the list.
    CHECK(directory.findId("i-1")->server.position == StorePosition(1, 20));
    SECTION("its entry expires because it has ended")
    {
        CHECK(describe(directory.remove("i-1", { 1, 21 }, start)) == "removed i-1;");
    }
    SECTION("it writes its entry again")
    {
        current.position = { 1, 22 };
        current.slots = 4;
        CHECK(describe(directory.update(current)) == "changed i-1;");
    }
    SECTION("within an era the last write counts, because start times may go back with the clock of a machine")
    {
        earlier.position = { 1, 22 };
        CHECK(describe(directory.update(earlier)) == "restarted i-1;");
    }
}

TEST_CASE("an unreadable entry in a returned store has a position of the new era", "[stream][directory][era]")
{
    // Guards against changes of the server that other instances ignore because its entry kept a high revision from before.
    ServerDirectory directory;
    directory.replaceAll({ withRevision(RouterFixture::server(1), 55) }, {}, { 0, 60 }, start);
    CHECK(directory.replaceAll({}, { "i-1" }, { 1, 20 }, start).empty());
    CHECK(directory.findId("i-1")->server.position == StorePosition(1, 20));
}
