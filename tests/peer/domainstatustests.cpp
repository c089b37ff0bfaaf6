#include "peer/domainstatus.h"

#include <catch2/catch.hpp>

using namespace Samphirepitch;

TEST_CASE("a domain status is decoded as it was encoded", "[peer][domainstatus]")
{
    const DomainStatus status { "lokoja", "entry-1", 99, 7, 6, 1, 2, { { "entry-1", MemberState::Leaving, 7, 6, 1234 } } };
    CHECK(DomainStatus::decode(status.encode()) == status);
}

TEST_CASE("an invalid domain status is refused", "[peer][domainstatus]")
{
    CHECK(DomainStatus::decode("").error().kind() == ErrorKind::Malformed);
    CHECK(DomainStatus::decode(R"({"failure_domain":7})").error().kind() == ErrorKind::Malformed);
    CHECK(DomainStatus::decode(std::string(DomainStatus::maxEncodedSize + 1, ' ')).error().kind() == ErrorKind::TooLarge);
    // Deep nesting would exhaust the stack of a recursive parser.
    CHECK(DomainStatus::decode(std::string(100000, '[')).error().kind() == ErrorKind::Malformed);
    DomainStatus large;
    large.instances.resize(DomainStatus::maxInstances + 1);
    CHECK(DomainStatus::decode(large.encode()).error().kind() == ErrorKind::TooLarge);
}
