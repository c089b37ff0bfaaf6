#include "objectstore/platformfixture.h"
#include "soak/evacuationoperator.h"

#include <algorithm>

using namespace Samphirepitch;
using namespace Samphirepitch::Testing;

using std::chrono::milliseconds;

namespace
{

struct OperatorFixture {
    /** Returns the domains whose evacuation is in the store. */
    std::vector<std::string> evacuated()
    {
        HttpRequest request;
        request.target = "/v1/objects/evacuations";
        const auto list = nlohmann::json::parse(await(context, store.handle(request)).value().body);
        std::vector<std::string> names;
        for (const auto &item : list["items"]) {
            names.push_back(item["meta"]["name"]);
        }
        return names;
    }

    /** Plays the whole plan of a seed, with @p check after each step. */
    void play(std::uint64_t seed, const std::function<void(const Soak::EvacuationOperator &)> &check)
    {
        Soak::EvacuationOperator evacuationOperator(store, SeededRandom(seed), 3);
        auto steps = evacuationOperator.plan(milliseconds(9000), milliseconds(12000));
        std::stable_sort(steps.begin(), steps.end(), [](const auto &left, const auto &right) { return left.at < right.at; });
        for (const auto &step : steps) {
            step.action();
            check(evacuationOperator);
        }
    }

    asio::io_context context { 1 };
    ManualClock clock;
    Soak::StoreStandin store { context.get_executor(), clock };
};

} // namespace

TEST_CASE_METHOD(OperatorFixture, "evacuations that overlap end with the last one that includes the domain", "[soak][evacuationoperator]")
{
    // Guards against a soak that judges flows by evacuations that the store doesn't have, or that ends with a domain evacuated.
    std::size_t mostAtOnce = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        play(seed, [&](const auto &evacuationOperator) {
            const auto names = evacuated();
            for (const std::string domain : { "d0", "d1", "d2" }) {
                CHECK(evacuationOperator.acceptedAt(domain).has_value() == (std::find(names.begin(), names.end(), domain) != names.end()));
            }
            mostAtOnce = std::max(mostAtOnce, names.size());
        });
        CHECK(evacuated().empty());
    }
    CHECK(mostAtOnce == 3);
}

TEST_CASE_METHOD(OperatorFixture, "the operator repeats what a store lost that returned from an older copy", "[soak][evacuationoperator]")
{
    // Guards against a soak that judges flows by an evacuation that the store has lost.
    Soak::EvacuationOperator evacuationOperator(store, SeededRandom(1), 3);
    auto steps = evacuationOperator.plan(milliseconds(0), milliseconds(0));
    clock.advance(milliseconds(100));
    steps.front().action();
    const auto requested = evacuated();
    REQUIRE(!requested.empty());
    clock.advance(milliseconds(100));
    store.restore(milliseconds(150));
    CHECK(evacuated().empty());
    evacuationOperator.writeAgain();
    CHECK(evacuated() == requested);
}
