#pragma once

#include "core/endpoint.h"

#include <cstdint>
#include <string>

namespace Samphirepitch
{

/** Liveness of an instance. The order matters: for the same incarnation a later state supersedes an earlier one. */
enum class MemberState {
    Alive, /**< Reachable; gets new work. */
    Suspect, /**< Not reachable from some peer; treated as alive until declared dead. */
    Leaving, /**< Shuts down gracefully: finishes its work and gets no new work. */
    Dead, /**< Unreachable; owns no state and is no link target. */
};

/** One instance in a member view; immutable. */
class Member
{
public:
    struct Fields {
        std::string id; /**< instance id, unique in the deployment */
        std::string failureDomain; /**< failure domain that the instance runs in */
        Endpoint peerAddress; /**< TCP address for messages between instances */
        Endpoint dataAddress; /**< UDP address for packets */
        std::uint64_t incarnation = 0; /**< increases each time an instance with this id starts or refutes a suspicion */
        MemberState state = MemberState::Alive; /**< most recently reported state */

        friend bool operator==(const Fields &, const Fields &) = default;
    };

    explicit Member(Fields fields);

    const std::string &id() const;
    const std::string &failureDomain() const;
    Endpoint peerAddress() const;
    Endpoint dataAddress() const;
    std::uint64_t incarnation() const;
    MemberState state() const;

    friend bool operator==(const Member &, const Member &) = default;

private:
    Fields m_fields;
};

} // namespace Samphirepitch
