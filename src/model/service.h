#pragma once

#include "core/endpoint.h"

#include <memory>
#include <string>

namespace Samphirepitch
{

/** The payload format of the datagrams of a service. */
enum class Protocol {
    Rpc, /**< MessagePack-RPC. */
    Opaque, /**< Arbitrary bytes, which are not inspected. */
};

/** The unit of traffic that is kept on one backend server. */
enum class Affinity {
    Flow, /**< All packets of a flow. */
    Request, /**< A single request. The requests of a flow may go to different servers. */
};

/** A virtual address and the pool of backend servers that its traffic is sent to. */
class Service
{
public:
    /** The fields of the object, which is immutable after construction. */
    struct Fields {
        std::string name; /**< unique among services */
        Endpoint address; /**< address that callers send to; unique among services and backend servers */
        Protocol protocol = Protocol::Rpc; /**< payload format */
        Affinity affinity = Affinity::Flow; /**< unit of traffic that is kept on one backend server */
        std::string pool; /**< name of the BackendPool */
        std::string policy; /**< name of the Policy */

        friend bool operator==(const Fields &, const Fields &) = default;
    };

    explicit Service(Fields fields);

    const std::string &name() const;
    Endpoint address() const;
    Protocol protocol() const;
    Affinity affinity() const;
    const std::string &pool() const;
    const std::string &policy() const;

    /** Compares by value. Copies share their fields, which makes comparing them cheap. */
    friend bool operator==(const Service &left, const Service &right);

private:
    std::shared_ptr<const Fields> m_fields;
};

} // namespace Samphirepitch
