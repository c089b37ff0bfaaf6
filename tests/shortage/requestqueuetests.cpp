#include "shortage/requestqueue.h"

#include <catch2/catch.hpp>

using namespace Samphirepitch;

using std::chrono::milliseconds;

namespace
{

constexpr TimePoint start { milliseconds(10000) };
constexpr Endpoint address { 0xc6120001, 443 };

WaitingRequest request(std::uint16_t port, std::uint32_t priority, int arrivedMs, int targetMs, bool opens = true)
{
    return { .client = Endpoint(0x64400001, port),
        .address = address,
        .priority = priority,
        .opens = opens,
        .arrivedAt = start + milliseconds(arrivedMs),
        .targetDeadline = start + milliseconds(targetMs),
        .deadline = start + milliseconds(1000) };
}

std::vector<std::uint16_t> popAll(RequestQueue &queue, TimePoint now)
{
    std::vector<std::uint16_t> ports;
    while (const auto next = queue.pop(now)) {
        ports.push_back(next->client.port());
    }
    return ports;
}

} // namespace

TEST_CASE("a late or less urgent request never goes before an urgent one or one that can still be in time", "[shortage]")
{
    RequestQueue queue;
    queue.push(request(1, 2, 0, 50)); // late
    queue.push(request(2, 2, 60, 300));
    queue.push(request(3, 1, 80, 90)); // urgent and late
    queue.push(request(4, 2, 40, 300));
    queue.push(request(5, 1, 90, 300));
    CHECK(popAll(queue, start + milliseconds(100)) == std::vector<std::uint16_t> { 5, 3, 4, 2, 1 });
}

TEST_CASE("opening packets beyond what can be served leave the queue, and data of open flows stays", "[shortage]")
{
    RequestQueue queue;
    queue.push(request(1, 2, 0, 300, false));
    queue.push(request(2, 2, 10, 300));
    queue.push(request(3, 1, 20, 300));
    queue.push(request(4, 2, 30, 300));
    const std::vector<WaitingRequest> excess = queue.takeExcess(2, start + milliseconds(40));
    REQUIRE(excess.size() == 1);
    CHECK(excess[0].client.port() == 4); // the newest of the least urgent, which has waited least
    CHECK(queue.takeExcess(0, start + milliseconds(40)).size() == 2);
    CHECK(queue.contains(Endpoint(0x64400001, 1), address));
}

TEST_CASE("a request whose deadline has passed is not sent any more", "[shortage]")
{
    RequestQueue queue;
    queue.push(request(1, 1, 0, 300));
    CHECK(queue.takeExpired(start + milliseconds(999)).empty());
    CHECK(queue.takeExpired(start + milliseconds(1000)).size() == 1);
    CHECK(queue.size() == 0);
}
