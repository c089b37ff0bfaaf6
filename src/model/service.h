#pragma once

#include "core/endpoint.h"

#include <memory>
#include <string>

namespace Samphirepitch
{

/** The format of the payload of datagrams. */
enum class Protocol {
    Rpc, /**< MessagePack-RPC. */
    Opaque, /**< Any bytes. */
};

/** What is kept on the same backend server. */
enum class Affinity {
    Flow, /**< All packets of a flow. */
    Request, /**< One request; requests of a flow are placed independently. */
};

/** An address that callers use, and where its packets go. */
class Service
{
public:
    /** The values of all fields; the object never changes after construction. */
    struct Fields {
        std::string name; /**< unique among services */
        Endpoint address; /**< address that callers send to; used by one service only */
        Protocol protocol = Protocol::Rpc; /**< format of the payload */
        Affinity affinity = Affinity::Flow; /**< what is kept on one backend server */
        std::string pool; /**< name of a BackendPool */
        std::string policy; /**< name of a Policy */

        friend bool operator==(const Fields &, const Fields &) = default;
    };

    explicit Service(Fields fields);

    const std::string &name() const;
    Endpoint address() const;
    Protocol protocol() const;
    Affinity affinity() const;
    const std::string &pool() const;
    const std::string &policy() const;

    /** Compares by value; copies of one object share their fields, so that comparing them is cheap. */
    friend bool operator==(const Service &left, const Service &right);

private:
    std::shared_ptr<const Fields> m_fields;
};

} // namespace Samphirepitch
