#include "health/proberselection.h"

#include <catch2/catch.hpp>

#include <set>

using namespace Samphirepitch;

namespace
{

constexpr int serverCount = 300;

Member member(const std::string &id, const std::string &domain, MemberState state = MemberState::Alive)
{
    return Member({ .id = id, .failureDomain = domain, .state = state });
}

std::vector<Member> tenMembers()
{
    std::vector<Member> members { member("okene-1", "okene") };
    for (int index = 0; index < 10; ++index) {
        members.push_back(member("lokoja-" + std::to_string(index), "lokoja"));
    }
    return members;
}

ConfigSet configOf(int count)
{
    BackendPool::Fields pool { .name = "ponds" };
    for (int index = 0; index < count; ++index) {
        const auto port = static_cast<std::uint16_t>(8000 + index);
        pool.servers.emplace_back(
            BackendServer::Fields { .name = "s" + std::to_string(index), .failureDomain = "lokoja", .health = Endpoint(0x7f000001, port) });
    }
    pool.servers.emplace_back(BackendServer::Fields { .name = "no-health", .failureDomain = "lokoja" });
    pool.servers.emplace_back(BackendServer::Fields { .name = "far", .failureDomain = "okene", .health = Endpoint(0x7f000001, 80) });
    return ConfigSet({ .pools = { BackendPool(pool) } });
}

using ServerMembers = std::map<std::string, std::set<std::string>>;

/** Asks each member of lokoja on its own which servers it probes. */
ServerMembers probersByServer(const std::vector<Member> &members)
{
    ServerMembers probers;
    for (const Member &each : members) {
        ProberSelection selection(each.id(), each.failureDomain());
        selection.setConfig(configOf(serverCount));
        selection.setView(MemberView(members));
        for (const auto &assignment : selection.assignments()) {
            probers[assignment.server.second].insert(each.id());
        }
    }
    return probers;
}

} // namespace

TEST_CASE("each server with a health address has exactly two probers of its failure domain", "[health][selection]")
{
    // Guards against instances that compute different ranks: a server would get more probers, or none.
    const ServerMembers probers = probersByServer(tenMembers());
    CHECK(probers.size() == serverCount + 1);
    CHECK(probers.count("no-health") == 0);
    CHECK(probers.at("far") == std::set<std::string> { "okene-1" });
    for (const auto &[server, ids] : probers) {
        CHECK((server == "far" || ids.size() == 2));
        CHECK((server == "far" || ids.count("okene-1") == 0));
    }
}

TEST_CASE("only the servers of a dead member get another prober", "[health][selection]")
{
    // Guards against a rank that depends on the number of members, which would move all probes at each death.
    const ServerMembers before = probersByServer(tenMembers());
    std::vector<Member> members = tenMembers();
    members[4] = member(members[4].id(), "lokoja", MemberState::Dead);
    const ServerMembers after = probersByServer(members);
    std::size_t moved = 0;
    for (const auto &[server, ids] : before) {
        const bool lostOne = ids.count(members[4].id()) > 0;
        moved += lostOne ? 1 : 0;
        CHECK((lostOne || after.at(server) == ids));
        CHECK(after.at(server).count(members[4].id()) == 0);
        CHECK(after.at(server).size() == ids.size());
    }
    CHECK(moved > 0);
    CHECK(moved < serverCount / 3); // a fifth is expected
}

TEST_CASE("the order in which view and configuration arrive does not matter", "[health][selection]")
{
    // Guards against ranks that stay as they were when a later view or configuration arrives.
    const MemberView view(tenMembers());
    std::vector<Member> suspected = tenMembers();
    suspected[2] = member(suspected[2].id(), "lokoja", MemberState::Suspect);
    ProberSelection late("lokoja-1", "lokoja");
    late.setView(MemberView({ member("lokoja-1", "lokoja") }));
    late.setConfig(configOf(10));
    CHECK(late.assignments().size() == 10);
    late.setView(view);
    late.setConfig(configOf(serverCount));
    late.setView(MemberView(suspected)); // a suspect still counts
    ProberSelection early("lokoja-1", "lokoja");
    early.setConfig(configOf(serverCount));
    early.setView(view);
    CHECK(late.assignments() == early.assignments());
}
