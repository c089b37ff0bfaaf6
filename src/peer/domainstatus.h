#pragma once

#include "core/error.h"
#include "membership/member.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Samphirepitch
{

/** Status of one instance in a DomainStatus. */
struct InstanceStatus {
    std::string id;
    MemberState state = MemberState::Alive;
    std::uint64_t held = 0; /**< highest complete generation on the instance */
    std::uint64_t inForce = 0; /**< generation that the data path of the instance uses */
    std::uint64_t lastHeardMs = 0; /**< wall time of the last contact in milliseconds; 0 if there was none */

    friend bool operator==(const InstanceStatus &, const InstanceStatus &) = default;
};

/** Status of a failure domain: the value of the platform object "status/<failure domain>". */
struct DomainStatus {
    static constexpr std::size_t maxInstances = 1024; /**< instances in one status */
    static constexpr std::size_t maxEncodedSize = 512 * 1024; /**< bytes of JSON */

    std::string failureDomain;
    std::string writer; /**< id of the instance that wrote the status */
    std::uint64_t writtenAtMs = 0; /**< wall time of the write in milliseconds */
    std::uint64_t highestHeld = 0; /**< highest generation held by any instance of the failure domain */
    std::uint64_t lowestInForce = 0; /**< lowest generation in force on an instance that may hold flows */
    std::uint32_t reported = 0; /**< number of instances whose reports are included */
    std::uint32_t expected = 0; /**< number of instances that may hold flows, which are all that are not dead */
    std::vector<InstanceStatus> instances; /**< all instances of a small failure domain, else the ones that lag most */

    /**
     * Parses a status.
     * @param json JSON text of at most maxEncodedSize bytes
     * @return the status, Malformed for invalid JSON or a missing or invalid field, or TooLarge above a limit
     */
    static Result<DomainStatus> decode(std::string_view json);

    /** Returns the status as JSON text. */
    std::string encode() const;

    friend bool operator==(const DomainStatus &, const DomainStatus &) = default;
};

/** Returns the lower-case name of @p state as used in JSON; it never changes. */
std::string_view memberStateName(MemberState state);

} // namespace Samphirepitch
