#include "stream/peerdirectory.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace Samphirepitch;

using std::chrono::milliseconds;

namespace
{

const TimePoint start = TimePoint() + std::chrono::seconds(100);

PeerRecord record(std::uint32_t number, std::uint64_t heartbeat = 1)
{
    return { .id = "entry-" + std::to_string(number),
        .failureDomain = "a",
        .address = Endpoint(0x0a000000 + number, 7720),
        .startedAt = 1000,
        .heartbeat = heartbeat };
}

/** Returns the directories of @p size instances, each of which knows all others. */
std::vector<PeerDirectory> group(std::uint32_t size)
{
    std::vector<PeerDirectory> directories;
    for (std::uint32_t number = 0; number < size; ++number) {
        directories.emplace_back(record(number));
        for (std::uint32_t other = 0; other < size; ++other) {
            directories.back().merge(record(other), start);
        }
    }
    return directories;
}

} // namespace

TEST_CASE("all instances that know each other agree on one reader", "[stream][peerdirectory]")
{
    const std::vector<PeerDirectory> directories = group(9);
    CHECK(std::count_if(directories.begin(), directories.end(), [](const PeerDirectory &one) { return one.isReader(start); }) == 1);
}

TEST_CASE("rank, reader and count of instances agree with the ranking", "[stream][peerdirectory]")
{
    for (const PeerDirectory &directory : group(20)) {
        const std::vector<PeerRecord> ranking = directory.ranking(start);
        CHECK(ranking.size() == directory.aliveCount(start));
        CHECK(ranking.front().id == directory.readerId(start));
        CHECK(ranking[directory.rank(start)].id == directory.self().id);
    }
}

TEST_CASE("the tree contains every instance except the reader exactly once as a child", "[stream][peerdirectory]")
{
    const std::vector<PeerDirectory> directories = group(78);
    std::multiset<Endpoint> reached;
    for (const PeerDirectory &directory : directories) {
        const std::vector<Endpoint> children = directory.children(start);
        CHECK(children.size() <= PeerDirectory::treeArity);
        reached.insert(children.begin(), children.end());
    }
    CHECK(reached.size() == 77);
    CHECK(std::set<Endpoint>(reached.begin(), reached.end()).size() == 77);
}

TEST_CASE("an instance without a higher heartbeat is considered dead, and late gossip does not change that", "[stream][peerdirectory]")
{
    PeerDirectory directory(record(0));
    CHECK(directory.merge(record(1, 7), start));
    CHECK_FALSE(directory.merge(record(1, 7), start + milliseconds(2000)));
    const TimePoint later = start + PeerDirectory::heartbeatTimeout;
    CHECK(directory.ranking(later).size() == 1);
    CHECK_FALSE(directory.merge(record(1, 6), later));
    CHECK(directory.ranking(later).size() == 1);
    CHECK(directory.sampleDead(*std::make_unique<SeededRandom>(1), later)->id == "entry-1");
    CHECK(directory.merge(record(1, 8), later));
    CHECK(directory.ranking(later).size() == 2);
}

TEST_CASE("a restarted instance is accepted although its heartbeat starts from a lower value", "[stream][peerdirectory]")
{
    PeerDirectory directory(record(0));
    directory.merge(record(1, 700), start);
    PeerRecord restarted = record(1, 1);
    restarted.startedAt = 2000;
    const TimePoint later = start + PeerDirectory::heartbeatTimeout;
    CHECK(directory.merge(restarted, later));
    CHECK(directory.ranking(later).size() == 2);
}

TEST_CASE("an instance that cannot reach the store, or that is marked dead, is not the reader", "[stream][peerdirectory]")
{
    std::vector<PeerDirectory> directories = group(5);
    const PeerRecord readerRecord = directories[0].ranking(start).front();
    const std::string reader = readerRecord.id;
    auto &other = *std::find_if(directories.begin(), directories.end(), [&](const PeerDirectory &one) { return one.self().id != reader; });
    SECTION("the store cannot be reached")
    {
        PeerRecord without = other.ranking(start).front();
        without.storeReachable = false;
        without.heartbeat = 9;
        other.merge(without, start);
        CHECK(other.ranking(start).front().id != reader);
        CHECK(other.ranking(start).back().id == reader);
    }
    SECTION("marked dead until its heartbeat increases")
    {
        other.markDead(reader, start);
        CHECK(other.ranking(start).front().id != reader);
        PeerRecord again = readerRecord;
        again.heartbeat = 9;
        CHECK(other.merge(again, start));
        CHECK(other.ranking(start).front().id == reader);
    }
}

TEST_CASE("an instance without peers is the reader", "[stream][peerdirectory]")
{
    PeerDirectory directory(record(0));
    CHECK(directory.isReader(start));
    CHECK(directory.children(start).empty());
    CHECK_FALSE(directory.merge(record(0, 99), start));
    directory.setStoreReachable(false);
    CHECK(directory.isReader(start));
}

TEST_CASE("dead instances are forgotten after the retention time", "[stream][peerdirectory]")
{
    PeerDirectory directory(record(0));
    SeededRandom random(1);
    directory.merge(record(1), start);
    directory.expire(start + PeerDirectory::heartbeatTimeout);
    CHECK(directory.sampleDead(random, start + PeerDirectory::heartbeatTimeout).has_value());
    directory.expire(start + PeerDirectory::heartbeatTimeout + PeerDirectory::retention);
    CHECK_FALSE(directory.sampleDead(random, start + PeerDirectory::heartbeatTimeout + PeerDirectory::retention).has_value());
}

TEST_CASE("samples have no repetitions, and repeated samples contain every instance", "[stream][peerdirectory]")
{
    const std::vector<PeerDirectory> directories = group(10);
    SeededRandom random(20261204);
    std::set<std::string> seen;
    for (int round = 0; round < 60; ++round) {
        const std::vector<PeerRecord> sample = directories[0].sample(3, random, start);
        REQUIRE(sample.size() == 3);
        std::set<std::string> ids;
        for (const PeerRecord &peer : sample) {
            ids.insert(peer.id);
        }
        CHECK(ids.size() == 3);
        seen.insert(ids.begin(), ids.end());
    }
    CHECK(seen.size() == 9);
}

TEST_CASE("an instance that restarts after its wall clock was set back is accepted again", "[stream][peerdirectory]")
{
    // Guards against a fault in which the records of such an instance were mistaken for old ones for a minute, so that no pushes reached
    // it.
    PeerDirectory directory(record(0));
    directory.merge(record(1, 7), start);
    PeerRecord restarted = record(1, 1);
    restarted.startedAt = 500;
    CHECK_FALSE(directory.merge(restarted, start + milliseconds(100)));
    const TimePoint later = start + PeerDirectory::heartbeatTimeout;
    CHECK(directory.merge(restarted, later));
    CHECK(directory.ranking(later).size() == 2);
    restarted.heartbeat = 2;
    CHECK_FALSE(directory.merge(restarted, later + milliseconds(500)));
    CHECK(directory.aliveCount(later + PeerDirectory::heartbeatTimeout) == 2);
}
