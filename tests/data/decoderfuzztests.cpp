#include "core/random.h"
#include "data/proxyheader.h"
#include "data/rpcenvelope.h"

#include <catch2/catch.hpp>

#include <array>
#include <iostream>
#include <vector>

using namespace Samphirepitch;

namespace
{

constexpr std::uint64_t seed = 20261204;
constexpr int rounds = 100000;

/** Returns a datagram with all TLVs and a request with nested params. */
std::vector<std::uint8_t> validDatagram()
{
    std::vector<std::uint8_t> bytes(ProxyHeader::maxSize);
    const ProxyHeader header({ .source = Endpoint(0x7f000001, 40000),
        .destination = Endpoint(0x7f000a01, 7000),
        .deadline = 1767225600123ULL,
        .cancelledRequest = 77,
        .load = LoadReport { 2, 5 },
        .hops = 1 });
    bytes.resize(header.encode(bytes));
    constexpr std::array<std::uint8_t, 18> request { 0x94, 0x00, 0xcd, 0x01, 0x00, 0xa4, 't', 'i', 'l', 'e', 0x92, 0x81, 0xa1, 'b', 0xc0,
        0x91, 0x91, 0x07 };
    bytes.insert(bytes.end(), request.begin(), request.end());
    return bytes;
}

/** Applies up to three random changes: overwrites a byte, truncates, or inserts a byte. */
void mutate(std::vector<std::uint8_t> &bytes, RandomSource &random)
{
    for (std::uint64_t count = random.below(4); count > 0 && !bytes.empty(); --count) {
        const std::size_t position = random.below(bytes.size());
        switch (random.below(3)) {
        case 0:
            bytes[position] = static_cast<std::uint8_t>(random.next());
            break;
        case 1:
            bytes.resize(position);
            break;
        default:
            bytes.insert(bytes.begin() + static_cast<std::ptrdiff_t>(position), static_cast<std::uint8_t>(random.next()));
            break;
        }
    }
}

} // namespace

TEST_CASE("mutated datagrams are decoded or refused, and decoded fields lie inside the datagram", "[data][fuzz]")
{
    // Guards against reading past the end of a malformed datagram from a caller or a faulty server.
    std::cout << "seed " << seed << '\n';
    SeededRandom random(seed);
    const std::vector<std::uint8_t> valid = validDatagram();
    int decodedHeaders = 0;
    int decodedRequests = 0;
    for (int round = 0; round < rounds; ++round) {
        // A copy of the exact size lets valgrind and sanitizers detect reads past the end.
        std::vector<std::uint8_t> mutated = valid;
        mutate(mutated, random);
        const std::vector<std::uint8_t> bytes(mutated.begin(), mutated.end());
        std::span<const std::uint8_t> payload;
        if (!ProxyHeader::decode(bytes, payload)) {
            continue;
        }
        ++decodedHeaders;
        REQUIRE(payload.size() <= bytes.size());
        REQUIRE(payload.data() + payload.size() == bytes.data() + bytes.size());
        const auto envelope = RpcEnvelope::decode(payload);
        if (envelope && !envelope->method.empty()) {
            ++decodedRequests;
            const auto *first = reinterpret_cast<const std::uint8_t *>(envelope->method.data());
            REQUIRE(first >= payload.data());
            REQUIRE(first + envelope->method.size() <= payload.data() + payload.size());
        }
    }
    CHECK(decodedHeaders > 0);
    CHECK(decodedHeaders < rounds);
    CHECK(decodedRequests > 0);
    CHECK(decodedRequests < decodedHeaders);
}
