#include "core/random.h"
#include "routing/lookuptable.h"
#include "routing/samplepools.h"

#include <catch2/catch.hpp>

#include <map>

using namespace Samphirepitch;

namespace
{

/** Returns the share of the buckets whose server differs between the tables of two pools. */
double movedShare(const BackendPool &before, const BackendPool &after)
{
    const LookupTable left = LookupTable::of(before);
    const LookupTable right = LookupTable::of(after);
    REQUIRE(left.buckets().size() == right.buckets().size());
    std::size_t moved = 0;
    for (std::size_t bucket = 0; bucket < left.buckets().size(); ++bucket) {
        moved += before.servers()[left.buckets()[bucket]].name() != after.servers()[right.buckets()[bucket]].name() ? 1 : 0;
    }
    return static_cast<double>(moved) / static_cast<double>(left.buckets().size());
}

} // namespace

TEST_CASE("equal pools give equal lookup tables", "[routing][lookuptable]")
{
    // Guards against a table that depends on anything but the pool: instances would send the same flow to different servers.
    const auto servers = SamplePools::servers(12);
    CHECK(LookupTable::of(SamplePools::pool(servers)).buckets() == LookupTable::of(SamplePools::pool(servers)).buckets());
}

TEST_CASE("the table size is the smallest listed prime that gives 50 buckets a server", "[routing][lookuptable]")
{
    CHECK(LookupTable::sizeFor(1) == 251);
    CHECK(LookupTable::sizeFor(5) == 251);
    CHECK(LookupTable::sizeFor(6) == 1021);
    CHECK(LookupTable::sizeFor(100) == 16381);
    CHECK(LookupTable::sizeFor(5000) == 65521);
}

TEST_CASE("servers get buckets in proportion to their weights", "[routing][lookuptable]")
{
    auto servers = SamplePools::servers(15);
    servers[3].weight = 50;
    servers[4].weight = 0;
    servers[5].state = ServerState::Drain;
    const LookupTable table = LookupTable::of(SamplePools::pool(servers));
    std::map<std::uint16_t, double> counts;
    for (const std::uint16_t position : table.buckets()) {
        ++counts[position];
    }
    CHECK_FALSE(counts.contains(4));
    CHECK_FALSE(counts.contains(5));
    const double share = static_cast<double>(table.buckets().size()) / 12.5; // 12 servers of full weight and one of half weight
    for (const auto &[position, count] : counts) {
        CAPTURE(position);
        CHECK(count == Approx(position == 3 ? share / 2 : share).margin(2));
    }
}

TEST_CASE("a pool without active servers has no position for any flow", "[routing][lookuptable]")
{
    auto servers = SamplePools::servers(1);
    servers[0].state = ServerState::Drain;
    CHECK(LookupTable::of(SamplePools::pool(servers)).position(77) == LookupTable::noPosition);
}

TEST_CASE("a change moves little more than the share of the changed server", "[routing][lookuptable]")
{
    // The share of one of S servers is 1/S, and no algorithm moves less. The Maglev paper (NSDI 2016, section 5.3) shows a few percent
    // more.
    constexpr double excess = 0.06;
    const std::size_t count = GENERATE(7, 12, 15, 20);
    CAPTURE(count);
    const auto servers = SamplePools::servers(count);
    auto drained = servers;
    drained[count / 2].state = ServerState::Drain;
    const double moved = movedShare(SamplePools::pool(servers), SamplePools::pool(drained));
    CHECK(moved >= 0.9 / static_cast<double>(count));
    CHECK(moved <= 1.0 / static_cast<double>(count) + excess);
}
