#include "data/datapath.h"

#include "data/datagrambatch.h"
#include "data/packetengine.h"
#include "membership/memberview.h"

#include <asio/awaitable.hpp>
#include <asio/co_spawn.hpp>
#include <asio/ip/udp.hpp>
#include <asio/redirect_error.hpp>
#include <asio/steady_timer.hpp>
#include <asio/use_awaitable.hpp>

#include <functional>

namespace Samphirepitch
{

namespace
{

using asio::ip::udp;

constexpr std::chrono::milliseconds tickInterval { 10 }; // a fifth of the shortest useful request deadline
constexpr int socketBufferSize = 4 * 1024 * 1024; // bytes; holds bursts of about 2,000 small datagrams
constexpr int maxBatchesPerWakeup = 8; // bounds how long one socket delays the other socket and the timer

udp::endpoint toAsio(Endpoint endpoint)
{
    return { asio::ip::address_v4(endpoint.address()), endpoint.port() };
}

/** Opens and binds a non-blocking socket; returns the error, if any. */
asio::error_code openSocket(udp::socket &socket, Endpoint address)
{
    asio::error_code error;
    socket.open(udp::v4(), error);
    if (!error) {
        socket.bind(toAsio(address), error);
    }
    if (!error) {
        socket.non_blocking(true, error);
    }
    asio::error_code ignored; // the buffer sizes are requests, which the system may limit
    socket.set_option(asio::socket_base::receive_buffer_size(socketBufferSize), ignored);
    socket.set_option(asio::socket_base::send_buffer_size(socketBufferSize), ignored);
    return error;
}

} // namespace

class DataPath::Implementation : public PacketOutput, public FlowExceptionTransport
{
public:
    Implementation(asio::any_io_executor executor, const Clock &clock, RandomSource &random, EventSink &events, DataPathSettings settings)
        : m_clock(clock)
        , m_settings(std::move(settings))
        , m_frontSocket(executor)
        , m_backSocket(executor)
        , m_tickTimer(executor)
        , m_engine({ .instance = m_settings.instance,
                       .failureDomain = m_settings.failureDomain,
                       .chooser = m_settings.chooser,
                       .isNewId = m_settings.isNewId },
              m_settings.maxFlows, clock, random, events, *this, this)
    {
    }

    Result<void> openSockets()
    {
        if (const auto error = openSocket(m_frontSocket, m_settings.dataAddress)) {
            return failure(ErrorKind::InputOutput, m_settings.dataAddress.toString(), error.message());
        }
        if (const auto error = openSocket(m_backSocket, m_settings.backAddress)) {
            return failure(ErrorKind::InputOutput, m_settings.backAddress.toString(), error.message());
        }
        return {};
    }

    void sendToServer(Endpoint server, const ProxyHeader &header, std::span<const std::uint8_t> payload) override
    {
        m_serverBatch.add(m_backSocket.native_handle(), server, header, payload, mustCopy(payload));
    }

    void sendToFabric(const ProxyHeader &header, std::span<const std::uint8_t> payload) override
    {
        m_frontBatch.add(m_frontSocket.native_handle(), m_settings.fabricReturn, header, payload, mustCopy(payload));
    }

    void sendToInstance(Endpoint instance, const ProxyHeader &header, std::span<const std::uint8_t> payload) override
    {
        m_frontBatch.add(m_frontSocket.native_handle(), instance, header, payload, mustCopy(payload));
    }

    /**
     * Returns whether a payload lies outside the datagram that is being processed. Only that datagram stays valid until flush();
     * payloads of queued requests and of the instance's own responses don't.
     */
    bool mustCopy(std::span<const std::uint8_t> payload) const
    {
        const std::less_equal<const std::uint8_t *> isNotAfter;
        return !payload.empty()
            && !(isNotAfter(m_currentDatagram.data(), payload.data())
                && isNotAfter(payload.data() + payload.size(), m_currentDatagram.data() + m_currentDatagram.size()));
    }

    void sendFlowExceptions(const std::string &instance, const FlowExceptionUpdate &update) override
    {
        if (m_transport) {
            m_transport->sendFlowExceptions(instance, update);
        }
    }

    void flush()
    {
        m_serverBatch.flush(m_backSocket.native_handle());
        m_frontBatch.flush(m_frontSocket.native_handle());
    }

    asio::awaitable<void> readFrontSocket()
    {
        return readSocket(m_frontSocket, &PacketEngine::handleFrontendDatagram);
    }

    asio::awaitable<void> readBackSocket()
    {
        return readSocket(m_backSocket, &PacketEngine::handleBackendDatagram);
    }

    using DatagramHandler = void (PacketEngine::*)(std::span<const std::uint8_t>, Endpoint, TimePoint);

    asio::awaitable<void> readSocket(udp::socket &socket, DatagramHandler handler)
    {
        DatagramBatch batch;
        while (!m_isStopped) {
            asio::error_code error;
            co_await socket.async_wait(udp::socket::wait_read, asio::redirect_error(asio::use_awaitable, error));
            if (!error && !m_isStopped) {
                handleWaiting(socket, handler, batch);
            }
        }
    }

    /** Handles the datagrams that wait in the queue of a socket, up to maxBatchesPerWakeup batches. */
    void handleWaiting(udp::socket &socket, DatagramHandler handler, DatagramBatch &batch)
    {
        std::size_t count = DatagramBatch::maxDatagrams;
        for (int batchIndex = 0; batchIndex < maxBatchesPerWakeup && count == DatagramBatch::maxDatagrams; ++batchIndex) {
            count = batch.receive(socket.native_handle());
            const TimePoint now = m_clock.now();
            for (std::size_t index = 0; index < count; ++index) {
                m_currentDatagram = batch.datagram(index);
                (m_engine.*handler)(m_currentDatagram, batch.sender(index), now);
            }
            flush();
            m_currentDatagram = {};
        }
    }

    /** Passes the responses of servers that have arrived on to their callers. Requests that wait are left, since they have not run. */
    void deliverResponses()
    {
        DatagramBatch batch;
        handleWaiting(m_backSocket, &PacketEngine::handleBackendDatagram, batch);
    }

    asio::awaitable<void> tick()
    {
        while (!m_isStopped) {
            m_tickTimer.expires_after(tickInterval);
            asio::error_code error;
            co_await m_tickTimer.async_wait(asio::redirect_error(asio::use_awaitable, error));
            m_engine.tick(m_clock.now());
            flush();
        }
    }

    const Clock &m_clock;
    DataPathSettings m_settings;
    udp::socket m_frontSocket;
    udp::socket m_backSocket;
    asio::steady_timer m_tickTimer;
    DatagramBatch m_serverBatch;
    DatagramBatch m_frontBatch;
    FlowExceptionTransport *m_transport = nullptr;
    std::span<const std::uint8_t> m_currentDatagram; /**< datagram that is being processed */
    bool m_isStopped = false;
    bool m_isDraining = false;
    PacketEngine m_engine;
};

DataPath::DataPath(std::unique_ptr<Implementation> implementation)
    : m_implementation(std::move(implementation))
{
}

DataPath::~DataPath() = default;

Result<std::unique_ptr<DataPath>> DataPath::create(
    asio::any_io_executor executor, const Clock &clock, RandomSource &random, EventSink &events, DataPathSettings settings)
{
    auto implementation = std::make_unique<Implementation>(std::move(executor), clock, random, events, std::move(settings));
    if (const auto opened = implementation->openSockets(); !opened) {
        return tl::unexpected(opened.error());
    }
    return std::unique_ptr<DataPath>(new DataPath(std::move(implementation)));
}

void DataPath::setFlowExceptionTransport(FlowExceptionTransport *transport)
{
    m_implementation->m_transport = transport;
}

void DataPath::setResponseObserver(ResponseObserver *observer)
{
    m_implementation->m_engine.requestHandler().setResponseObserver(observer);
}

void DataPath::configurationChanged(const ConfigGeneration &generation)
{
    m_implementation->m_engine.configurationChanged(generation);
}

void DataPath::memberViewChanged(std::shared_ptr<const MemberView> view)
{
    m_implementation->m_engine.memberViewChanged(std::move(view));
}

void DataPath::writeMetrics(MetricWriter &writer) const
{
    m_implementation->m_engine.writeMetrics(writer);
    writer.counter("samphirepitch_send_drops_total", "Datagrams that a socket rejected and that were dropped.", {},
        m_implementation->m_serverBatch.dropped() + m_implementation->m_frontBatch.dropped());
}

asio::awaitable<void> DataPath::run()
{
    Implementation &data = *m_implementation;
    const auto executor = co_await asio::this_coro::executor;
    int runningReaders = 2;
    asio::steady_timer readerEnded(executor, asio::steady_timer::time_point::max());
    const auto onReaderEnd = [&runningReaders, &readerEnded](std::exception_ptr) {
        --runningReaders;
        readerEnded.cancel();
    };
    asio::co_spawn(executor, data.readFrontSocket(), onReaderEnd);
    asio::co_spawn(executor, data.readBackSocket(), onReaderEnd);
    co_await data.tick();
    while (runningReaders > 0) {
        asio::error_code error;
        co_await readerEnded.async_wait(asio::redirect_error(asio::use_awaitable, error));
    }
}

void DataPath::stop()
{
    m_implementation->deliverResponses();
    m_implementation->m_isStopped = true;
    m_implementation->m_tickTimer.cancel();
    asio::error_code ignored;
    m_implementation->m_frontSocket.cancel(ignored);
    m_implementation->m_backSocket.cancel(ignored);
}

void DataPath::beginDrain()
{
    m_implementation->m_isDraining = true;
}

bool DataPath::isDraining() const
{
    return m_implementation->m_isDraining;
}

std::size_t DataPath::pendingRequests() const
{
    const RequestHandler &requests = m_implementation->m_engine.requestHandler();
    return m_implementation->m_isDraining ? requests.unfinishedCount() : requests.pendingCount();
}

std::uint64_t DataPath::heldGeneration() const
{
    return m_implementation->m_engine.router().heldGeneration();
}

std::uint64_t DataPath::preparedGeneration() const
{
    return m_implementation->m_engine.router().preparedGeneration();
}

void DataPath::activate(std::uint64_t generation)
{
    m_implementation->m_engine.router().activate(generation);
}

void DataPath::flowExceptionsReceived(const FlowExceptionUpdate &update)
{
    m_implementation->m_engine.router().flowExceptionsReceived(update, m_implementation->m_clock.now());
}

void DataPath::flowExceptionsDelivered(const std::string &instance, std::uint64_t sequence)
{
    m_implementation->m_engine.router().flowExceptionsDelivered(instance, sequence);
}

void DataPath::serverStateReported(Endpoint server, bool up, WallTime at)
{
    m_implementation->m_engine.router().serverStateReported(server, up, at);
}

void DataPath::setViewDeadline(TimePoint deadline)
{
    m_implementation->m_engine.requestHandler().setViewDeadline(deadline);
}

Endpoint DataPath::backAddress() const
{
    asio::error_code error;
    const udp::endpoint local = m_implementation->m_backSocket.local_endpoint(error);
    return { local.address().to_v4().to_uint(), local.port() };
}

PacketEngine &DataPath::engine()
{
    return m_implementation->m_engine;
}

} // namespace Samphirepitch
