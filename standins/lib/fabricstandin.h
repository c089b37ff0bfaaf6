#pragma once

#include "core/random.h"
#include "lib/datagramsocket.h"
#include "lib/fabricfaults.h"
#include "lib/receivebatch.h"
#include "objectstore/httphandler.h"

#include <memory>
#include <unordered_map>
#include <vector>

namespace Samphirepitch::StandIn
{

/**
 * A simulated fabric. It sends each datagram from a caller to a randomly chosen instance, with a ProxyHeader in front. It sends
 * datagrams from instances to the callers, with the service address as source. As an HttpHandler, it serves the admin path, on which
 * faults, counters and the list of instances are read and changed.
 */
class FabricStandIn : public HttpHandler
{
public:
    /** Start options of the fabric. */
    struct Options {
        std::vector<Endpoint> services; /**< service addresses to bind; port 0 takes a free port */
        std::vector<Endpoint> instances; /**< data addresses of the instances */
        Endpoint returnAddress; /**< receives datagrams from instances, and is the source of datagrams to instances */
        FabricFaults faults;
        std::uint64_t seed = 1; /**< of the random choice of instances and faults */
    };

    /** Counters of datagrams since the start. */
    struct Counters {
        std::uint64_t toInstances = 0;
        std::uint64_t toCallers = 0;
        std::uint64_t lost = 0; /**< dropped by the loss fault, or refused by a socket */
        std::uint64_t withoutInstance = 0; /**< dropped because the list of instances was empty */
        std::uint64_t malformed = 0; /**< over 16 KiB, without a valid header, or from an unknown service address */
        std::uint64_t duplicated = 0;
        std::uint64_t reordered = 0; /**< delayed by the reordering fault */
    };

    /**
     * Binds all addresses and starts to forward datagrams.
     * @param executor runs all operations; single-threaded; the fabric must outlive its last operation
     * @param options addresses, instances and faults
     * @return the fabric; InputOutput if an address cannot be bound
     */
    static Result<std::unique_ptr<FabricStandIn>> start(asio::any_io_executor executor, Options options);

    asio::awaitable<std::optional<HttpResponse>> handle(HttpRequest request) override;

    /** Replaces the data addresses that datagrams from callers are sent to. */
    void setInstances(std::vector<Endpoint> instances);
    const Counters &counters() const;

    /** Returns the bound service addresses, in the order of Options::services. */
    std::vector<Endpoint> services() const;
    Endpoint returnAddress() const;

    /** Closes all sockets, which ends forwarding. */
    void stop();

private:
    FabricStandIn(asio::any_io_executor executor, Options options);

    Result<void> bindAll();
    asio::awaitable<void> forwardFromCallers(DatagramSocket &service);
    asio::awaitable<void> forwardFromInstances();
    asio::awaitable<void> sendDelayed(DatagramSocket &from, Endpoint target, std::vector<std::uint8_t> bytes);

    /** Sends the first @p count datagrams of the batch to their callers. */
    void forwardBatchToCallers(std::size_t count);

    /** Sends a datagram, with the faults, and increments @p counter unless it is lost. The bytes must stay valid until flush(). */
    void send(DatagramSocket &from, Endpoint target, std::span<const std::uint8_t> bytes, std::uint64_t &counter);

    /** Sends the outgoing datagrams of a socket and counts those that it refuses as lost. */
    void flush(DatagramSocket &socket);

    /** Returns true with a probability of @p percent. */
    bool sampleFault(double percent);
    HttpResponse handleInstances(const std::string &json);
    HttpResponse countersResponse() const;

    asio::any_io_executor m_executor;
    Options m_options;
    SeededRandom m_random;
    Counters m_counters;
    ReceiveBatch m_batch;
    std::vector<std::unique_ptr<DatagramSocket>> m_serviceSockets;
    std::unordered_map<std::uint64_t, DatagramSocket *> m_serviceSocketByAddress; /**< key: serviceKey() of the bound address */
    std::unique_ptr<DatagramSocket> m_returnSocket;
};

} // namespace Samphirepitch::StandIn
