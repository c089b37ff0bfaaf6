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
 * The fabric: sprays each datagram that callers send to a service address over the instances, with a ProxyHeader, and
 * sends the instances' datagrams to the callers from the socket of their service address.
 */
class FabricStandIn : public HttpHandler
{
public:
    /** What the fabric is started with. */
    struct Options {
        std::vector<Endpoint> services; /**< service addresses to bind; port 0 takes a free port */
        std::vector<Endpoint> instances; /**< data addresses of instances */
        Endpoint returnAddress; /**< address for datagrams from instances; also the source of datagrams to instances */
        FabricFaults faults;
        std::uint64_t seed = 1;
    };

    /** What the fabric has done with datagrams. */
    struct Counters {
        std::uint64_t toInstances = 0;
        std::uint64_t toCallers = 0;
        std::uint64_t lost = 0; /**< by the fault, or not taken by a socket */
        std::uint64_t withoutInstance = 0; /**< no instance was listed */
        std::uint64_t malformed = 0; /**< above 16 KB, or from instances without a readable header or for an unknown service address */
        std::uint64_t duplicated = 0;
        std::uint64_t reordered = 0;
    };

    /**
     * Binds all addresses and starts to forward.
     * @param executor runs all operations; single-threaded; the fabric must outlive its last operation
     * @return the fabric, or InputOutput
     */
    static Result<std::unique_ptr<FabricStandIn>> start(asio::any_io_executor executor, Options options);

    asio::awaitable<std::optional<HttpResponse>> handle(HttpRequest request) override;

    void changeInstances(std::vector<Endpoint> instances);
    const Counters &counters() const;

    /** Returns the bound service addresses in the order of the options. */
    std::vector<Endpoint> services() const;
    Endpoint returnAddress() const;

    /** Closes all sockets. */
    void stop();

private:
    FabricStandIn(asio::any_io_executor executor, Options options);

    Result<void> bindAll();
    asio::awaitable<void> forwardFromCallers(DatagramSocket &service);
    asio::awaitable<void> forwardFromInstances();
    asio::awaitable<void> sendLater(DatagramSocket &from, Endpoint target, std::vector<std::uint8_t> bytes);
    void returnBatch(std::size_t count);
    void send(DatagramSocket &from, Endpoint target, std::span<const std::uint8_t> bytes, std::uint64_t &counter);
    void flush(DatagramSocket &socket);
    bool happens(double percent);
    HttpResponse changeInstancesBy(const std::string &json);
    HttpResponse report() const;

    asio::any_io_executor m_executor;
    Options m_options;
    SeededRandom m_random;
    Counters m_counters;
    ReceiveBatch m_batch;
    std::vector<std::unique_ptr<DatagramSocket>> m_services;
    std::unordered_map<std::uint64_t, DatagramSocket *> m_serviceOf; /**< by serviceKey() of the address */
    std::unique_ptr<DatagramSocket> m_return;
};

} // namespace Samphirepitch::StandIn
