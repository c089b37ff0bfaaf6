#pragma once

#include "core/endpoint.h"

#include <cstdint>
#include <string>

namespace Samphirepitch
{

/** The state of an instance. */
enum class MemberState {
    Alive, /**< Takes part in everything. */
    Suspect, /**< A peer missed its heartbeats; it still counts until declared dead. */
    Leaving, /**< Finishes its work and gets no new work. */
    Dead, /**< Does not count. */
};

/** One instance as seen in a member view. */
class Member
{
public:
    /** The values of all fields; the object never changes after construction. */
    struct Fields {
        std::string id; /**< instance id, unique in the deployment */
        std::string failureDomain; /**< failure domain of the instance */
        Endpoint peerAddress; /**< TCP address for messages between instances */
        Endpoint dataAddress; /**< UDP address for packets */
        std::uint64_t incarnation = 0; /**< rises each time an instance of this id starts or refutes a suspicion */
        MemberState state = MemberState::Alive; /**< as last heard */

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
