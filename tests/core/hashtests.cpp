#include "core/hash.h"

#include <catch2/catch.hpp>

using namespace Samphirepitch;

TEST_CASE("a content name depends on the content alone", "[core][hash]")
{
    CHECK(ContentName::of("part a") == ContentName::of("part a"));
    CHECK(ContentName::of("part a") != ContentName::of("part b"));
    CHECK(ContentName::of("part a").toHex().size() == 32);
    CHECK(ContentName().isUnset());
}

TEST_CASE("hash values are the same in every build", "[core][hash]")
{
    // Instances of different builds must assign flows to the same backend servers; a changed hash value would break flows.
    CHECK(hash64("samphirepitch", 1) == hash64("samphirepitch", 1));
    CHECK(hash64("samphirepitch", 1) != hash64("samphirepitch", 2));
    CHECK(mix64(1, 2) == 0xf893a2eefb32555eULL);
}
