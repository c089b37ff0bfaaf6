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
        Endpoint front; /**< datagrams from here go to the target */
        Endpoint back; /**< datagrams from here go to the return address */
        Endpoint target;
        Endpoint fabricReturn;
    };

    /** Opens the sockets. @return the relay, or InputOutput */
    static Result<PlainRelay> create(const Addresses &addresses);

    Endpoint front() const;

    /** Relays until @p stopped is set. */
    void run(const std::atomic<bool> &stopped);

private:
    PlainRelay(UdpSocket front, UdpSocket back, const Addresses &addresses);

    UdpSocket m_front;
    UdpSocket m_back;
    Addresses m_addresses;
};

} // namespace Samphirepitch
