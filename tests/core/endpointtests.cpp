#include "core/endpoint.h"

#include <catch2/catch.hpp>

using namespace Samphirepitch;

TEST_CASE("an endpoint is parsed and formatted in the same form", "[core][endpoint]")
{
    const auto endpoint = Endpoint::parse("127.0.10.1:7000");
    REQUIRE(endpoint.has_value());
    CHECK(endpoint->address() == 0x7f000a01);
    CHECK(endpoint->port() == 7000);
    CHECK(endpoint->toString() == "127.0.10.1:7000");
}

TEST_CASE("an endpoint with an invalid component is refused as malformed", "[core][endpoint]")
{
    // Guards against accepting a partly parsed address, which would send traffic to a wrong destination.
    const auto *text
        = GENERATE("", "1.2.3:4", "1.2.3.4", "1.2.3.4:", "1.2.3.4:0", "1.2.3.4:65536", "256.1.1.1:1", "1.2.3.4:80x", "a.b.c.d:1");
    CAPTURE(text);
    const auto endpoint = Endpoint::parse(text);
    REQUIRE_FALSE(endpoint.has_value());
    CHECK(endpoint.error().kind() == ErrorKind::Malformed);
}
