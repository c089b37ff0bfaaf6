#pragma once

#include "load/udpsocket.h"

#include <atomic>

namespace Samphirepitch
{

/** A UDP relay that makes no decision: the baseline for the throughput of the data path, with the same batch input and output. */
class PlainRelay
{
public:
    /** Where a relay listens and where its datagrams go. */
    struct Addresses {
        Endpoint frontend; /**< datagrams from here go to the target */
        Endpoint backend; /**< datagrams from here go to the return address */
        Endpoint target;
        Endpoint fabricReturn;
    };

    /** Opens the sockets. @return the relay, or InputOutput */
    static Result<PlainRelay> create(const Addresses &addresses);

    Endpoint frontend() const;

    /** Relays until @p stopped is set. */
    void run(const std::atomic<bool> &stopped);

private:
    PlainRelay(UdpSocket frontend, UdpSocket backend, const Addresses &addresses);

    UdpSocket m_frontend;
    UdpSocket m_backend;
    Addresses m_addresses;
};

} // namespace Samphirepitch
