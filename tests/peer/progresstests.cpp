#include "peer/progresstable.h"
#include "peer/progresstree.h"

#include <catch2/catch.hpp>

#include <map>

using namespace Samphirepitch;

namespace
{

MemberView viewOf(std::size_t count)
{
    std::vector<Member> members;
    for (std::size_t number = 0; number < count; ++number) {
        members.emplace_back(Member::Fields { "i" + std::to_string(number), "lokoja", {}, {}, 1, MemberState::Alive });
    }
    return MemberView(members);
}

/** Returns the report of the root, where instance "i<n>" has the generation @p generations[n] in force. */
GenerationReport reportOfRoot(const WatcherSelection &selection, std::size_t size, const std::vector<std::uint64_t> &generations)
{
    std::map<std::string, ProgressTree> trees;
    for (std::size_t number = 0; number < size; ++number) {
        const std::string id = "i" + std::to_string(number);
        ProgressTree &tree = trees.emplace(id, ProgressTree(id)).first->second;
        tree.setOwnStatus({ id, MemberState::Alive, 9, generations[number], 0 }, generations[number]);
    }
    // One round for each level of the tree is enough. 64 members make 4 levels.
    for (int round = 0; round < 4; ++round) {
        for (const auto &[id, tree] : trees) {
            const std::string parent = selection.parent(id);
            if (!parent.empty()) {
                trees.at(parent).addReport(id, tree.combined(selection, size, TimePoint()), TimePoint());
            }
        }
    }
    return trees.at(selection.watchers().front()).combined(selection, size, TimePoint());
}

} // namespace

TEST_CASE("the report of the root contains the slowest instance", "[peer][progresstree]")
{
    for (const std::size_t size : { 1, 5, 32, 64 }) {
        INFO("size " << size);
        const WatcherSelection selection(viewOf(size), "lokoja");
        std::vector<std::uint64_t> generations(size, 9);
        generations[size / 2] = 7;
        const GenerationReport report = reportOfRoot(selection, size, generations);
        CHECK(report.count == size);
        CHECK(report.lowestActive == 7);
        CHECK(report.highestHeld == 9);
        // A small failure domain lists each instance, a larger one only those that lag.
        CHECK(report.instances.size() == (size <= ProgressTree::maxListedDomainSize ? size : 1));
    }
}

TEST_CASE("a report that is too old does not count", "[peer][progresstree]")
{
    const WatcherSelection selection(viewOf(2), "lokoja");
    const std::string root = selection.watchers()[0];
    ProgressTree tree(root);
    tree.setOwnStatus({ root, MemberState::Alive, 1, 1, 0 }, 1);
    tree.addReport(selection.watchers()[1], { 1, 1, 1, 1, {} }, TimePoint());
    CHECK(tree.combined(selection, 2, TimePoint()).count == 2);
    CHECK(tree.combined(selection, 2, TimePoint() + ProgressTree::reportTimeout).count == 1);
}

TEST_CASE("no generation is prepared everywhere until each failure domain with live members has reported", "[peer][progresstable]")
{
    const MemberView view({ Member({ "a", "ajaokuta", {}, {}, 1, MemberState::Alive }),
        Member({ "l", "lokoja", {}, {}, 1, MemberState::Alive }), Member({ "o", "okene", {}, {}, 1, MemberState::Dead }) });
    ProgressTable table;
    CHECK(table.update({ "ajaokuta", 5, 5, 100 }));
    CHECK(table.lowestPrepared(view) == 0);
    CHECK(table.update({ "lokoja", 4, 4, 100 }));
    CHECK(table.lowestPrepared(view) == 4);
    // An older message that arrives late over another path must not revert the progress.
    CHECK_FALSE(table.update({ "lokoja", 3, 3, 99 }));
    CHECK(table.takeChanges().size() == 2);
    CHECK_FALSE(table.hasChanges());
}
