#pragma once

#include "load/udpsocket.h"

#include <atomic>

namespace Samphirepitch
{

/**
 * A UDP relay with fixed targets, as a baseline for the throughput of the data path. It uses the same batched input and output,
 * but makes no routing decision.
 */
class PlainRelay
{
public:
    /** The addresses that a relay binds, and those that it sends to. */
    struct Addresses {
        Endpoint frontend; /**< bound; datagrams received here go to @c target */
        Endpoint backend; /**< bound; datagrams received here go to @c fabricReturn */
        Endpoint target;
        Endpoint fabricReturn;
    };

    /** Opens the sockets. @return the relay, or InputOutput if an address cannot be bound */
    static Result<PlainRelay> create(const Addresses &addresses);

    /** Returns the bound frontend address. */
    Endpoint frontend() const;

    /** Relays datagrams; blocks until @p stopped is set by another thread, and returns at most 20 ms later. */
    void run(const std::atomic<bool> &stopped);

private:
    PlainRelay(UdpSocket frontend, UdpSocket backend, const Addresses &addresses);

    UdpSocket m_frontend;
    UdpSocket m_backend;
    Addresses m_addresses;
};

} // namespace Samphirepitch
