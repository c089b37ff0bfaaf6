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

std::vector<Member> membersOfTwoDomains()
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

/** Returns the probers of each server, as each member computes them for itself. */
ServerMembers probersByServer(const std::vector<Member> &members)
{
    ServerMembers probers;
    for (const Member &prober : members) {
        ProberSelection selection(prober.id(), prober.failureDomain());
        selection.setConfig(configOf(serverCount));
        selection.setMemberView(MemberView(members));
        for (const auto &assignment : selection.assignments()) {
            probers[assignment.server.second].insert(prober.id());
        }
    }
    return probers;
}

} // namespace

TEST_CASE("each server with a health address has exactly two probers of its failure domain", "[health][selection]")
{
    // Guards against instances that compute different ranks, so that a server has more than two probers, or none.
    const ServerMembers probers = probersByServer(membersOfTwoDomains());
    CHECK(probers.size() == serverCount + 1);
    CHECK(probers.count("no-health") == 0);
    CHECK(probers.at("far") == std::set<std::string> { "okene-1" });
    for (const auto &[server, ids] : probers) {
        CHECK((server == "far" || ids.size() == 2));
        CHECK((server == "far" || ids.count("okene-1") == 0));
    }
}

TEST_CASE("only the servers of a dead member get a new prober", "[health][selection]")
{
    // Guards against ranks that depend on the number of members, which would reassign all probes when one fails.
    const ServerMembers probersBefore = probersByServer(membersOfTwoDomains());
    std::vector<Member> members = membersOfTwoDomains();
    members[4] = member(members[4].id(), "lokoja", MemberState::Dead);
    const ServerMembers probersAfter = probersByServer(members);
    std::size_t reassigned = 0;
    for (const auto &[server, ids] : probersBefore) {
        const bool lostProber = ids.count(members[4].id()) > 0;
        reassigned += lostProber ? 1 : 0;
        CHECK((lostProber || probersAfter.at(server) == ids));
        CHECK(probersAfter.at(server).count(members[4].id()) == 0);
        CHECK(probersAfter.at(server).size() == ids.size());
    }
    CHECK(reassigned > 0);
    CHECK(reassigned < serverCount / 3); // about a fifth is expected
}

TEST_CASE("the order in which member view and configuration arrive does not matter", "[health][selection]")
{
    // Guards against ranks that are not updated when a later view or configuration arrives.
    const MemberView view(membersOfTwoDomains());
    std::vector<Member> suspected = membersOfTwoDomains();
    suspected[2] = member(suspected[2].id(), "lokoja", MemberState::Suspect);
    ProberSelection late("lokoja-1", "lokoja");
    late.setMemberView(MemberView({ member("lokoja-1", "lokoja") }));
    late.setConfig(configOf(10));
    CHECK(late.assignments().size() == 10);
    late.setMemberView(view);
    late.setConfig(configOf(serverCount));
    late.setMemberView(MemberView(suspected)); // a suspect stays eligible
    ProberSelection early("lokoja-1", "lokoja");
    early.setConfig(configOf(serverCount));
    early.setMemberView(view);
    CHECK(late.assignments() == early.assignments());
}
