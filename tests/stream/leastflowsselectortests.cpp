#include "stream/leastflowsselector.h"

#include <catch2/catch.hpp>

#include <array>

using namespace Samphirepitch;

namespace
{

class SelectorFixture
{
public:
    std::size_t choose(const std::vector<StreamCandidate> &candidates)
    {
        return LeastFlowsSelector().choose(candidates, random).value();
    }

    SeededRandom random { 20261204 };
};

} // namespace

TEST_CASE_METHOD(SelectorFixture, "the server with the fewest flows per slot is chosen", "[stream][selector]")
{
    CHECK(choose({ { .flows = 4, .slots = 2 }, { .flows = 3, .slots = 2 }, { .flows = 5, .slots = 2 } }) == 1);
    CHECK(choose({ { .flows = 4, .slots = 2 }, { .flows = 5, .slots = 4 } }) == 1);
}

TEST_CASE_METHOD(SelectorFixture, "servers of the instance's own domain are preferred until they are much fuller", "[stream][selector]")
{
    // Flows that stay within a failure domain survive when the domain is cut off from the rest.
    CHECK(choose({ { .flows = 20, .slots = 2 }, { .flows = 7, .slots = 2, .local = false } }) == 0);
    CHECK(choose({ { .flows = 90, .slots = 2 }, { .flows = 7, .slots = 2, .local = false } }) == 1);
    CHECK(choose({ { .flows = 3, .slots = 2 }, { .flows = 0, .slots = 2, .local = false } }) == 0);
    CHECK(choose({ { .flows = 0, .lastResort = true }, { .flows = 7, .local = false } }) == 1);
}

TEST_CASE_METHOD(SelectorFixture, "a cold server gets fewer flows", "[stream][selector]")
{
    // Otherwise all flows of a server that is drained during a release would move to its cold successor.
    CHECK(choose({ { .flows = 4, .slots = 2, .cold = true }, { .flows = 6, .slots = 2 } }) == 1);
    CHECK(choose({ { .flows = 1, .slots = 2, .cold = true }, { .flows = 6, .slots = 2 } }) == 0);
}

TEST_CASE_METHOD(SelectorFixture, "a last-resort server is chosen only if there is no other", "[stream][selector]")
{
    CHECK(choose({ { .flows = 0, .lastResort = true }, { .flows = 90 } }) == 1);
    CHECK(choose({ { .flows = 3, .lastResort = true }, { .flows = 1, .lastResort = true } }) == 1);
    CHECK_FALSE(LeastFlowsSelector().choose({}, random).has_value());
}

TEST_CASE_METHOD(SelectorFixture, "equally good servers are chosen with the same probability", "[stream][selector]")
{
    // Instances with the same information must not send all new flows to the same server.
    std::array<int, 4> taken {};
    for (int round = 0; round < 4000; ++round) {
        ++taken[choose(std::vector<StreamCandidate>(4))];
    }
    for (const int count : taken) {
        CHECK(count > 850);
        CHECK(count < 1150);
    }
}
