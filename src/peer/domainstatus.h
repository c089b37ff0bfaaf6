#pragma once

#include "core/error.h"
#include "membership/member.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Samphirepitch
{

/** What a watcher knows of one instance. */
struct InstanceStatus {
    std::string id;
    MemberState state = MemberState::Alive;
    std::uint64_t held = 0; /**< highest complete generation */
    std::uint64_t inForce = 0; /**< generation that the data path uses */
    std::uint64_t lastHeardMs = 0; /**< wall time in milliseconds; 0 if never heard */

    friend bool operator==(const InstanceStatus &, const InstanceStatus &) = default;
};

/** The value of the platform object "status/<failure domain>". */
struct DomainStatus {
    static constexpr std::size_t maxInstances = 1024; /**< instances in one status */
    static constexpr std::size_t maxEncodedSize = 512 * 1024; /**< bytes of JSON */

    std::string failureDomain;
    std::string writer; /**< id of the instance that wrote the status */
    std::uint64_t writtenAtMs = 0; /**< wall time in milliseconds */
    std::uint64_t highestHeld = 0; /**< highest generation held by any instance of the failure domain */
    std::uint64_t lowestInForce = 0; /**< lowest generation in force on an instance that may hold flows */
    std::uint32_t reported = 0; /**< instances that have reported */
    std::uint32_t expected = 0; /**< instances that may hold flows */
    std::vector<InstanceStatus> instances; /**< all instances of a small failure domain, else the ones that lag */

    /** Reads JSON. @return the status, Malformed, or TooLarge */
    static Result<DomainStatus> decode(std::string_view json);

    /** Returns the JSON text. */
    std::string encode() const;

    friend bool operator==(const DomainStatus &, const DomainStatus &) = default;
};

/** Returns the stable lower-case name of @p state. */
std::string_view memberStateName(MemberState state);

} // namespace Samphirepitch
