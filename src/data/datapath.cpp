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
constexpr int batchesPerTurn = 8; // bounds the time until the other socket and the timer get their turn

udp::endpoint toAsio(Endpoint endpoint)
{
    return { asio::ip::address_v4(endpoint.address()), endpoint.port() };
}

/** Opens a socket; returns the error, if any. */
asio::error_code open(udp::socket &socket, Endpoint address)
{
    asio::error_code error;
    socket.open(udp::v4(), error);
    if (!error) {
        socket.bind(toAsio(address), error);
    }
    if (!error) {
        socket.non_blocking(true, error);
    }
    asio::error_code ignored; // the system may limit the sizes
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
        , m_front(executor)
        , m_back(executor)
        , m_timer(executor)
        , m_engine({ .instance = m_settings.instance,
                       .failureDomain = m_settings.failureDomain,
                       .chooser = m_settings.chooser,
                       .isNewId = m_settings.isNewId },
              m_settings.maxFlows, clock, random, events, *this, this)
    {
    }

    Result<void> openSockets()
    {
        if (const auto error = open(m_front, m_settings.dataAddress)) {
            return failure(ErrorKind::InputOutput, m_settings.dataAddress.toString(), error.message());
        }
        if (const auto error = open(m_back, m_settings.backAddress)) {
            return failure(ErrorKind::InputOutput, m_settings.backAddress.toString(), error.message());
        }
        return {};
    }

    void toServer(Endpoint server, const ProxyHeader &header, std::span<const std::uint8_t> payload) override
    {
        m_toServers.add(m_back.native_handle(), server, header, payload, mustCopy(payload));
    }

    void toFabric(const ProxyHeader &header, std::span<const std::uint8_t> payload) override
    {
        m_toFront.add(m_front.native_handle(), m_settings.fabricReturn, header, payload, mustCopy(payload));
    }

    void toInstance(Endpoint instance, const ProxyHeader &header, std::span<const std::uint8_t> payload) override
    {
        m_toFront.add(m_front.native_handle(), instance, header, payload, mustCopy(payload));
    }

    /** Only the received datagram stays valid until the flush; payloads from queues and own answers don't. */
    bool mustCopy(std::span<const std::uint8_t> payload) const
    {
        const std::less_equal<const std::uint8_t *> notAfter;
        return !payload.empty()
            && !(notAfter(m_current.data(), payload.data())
                && notAfter(payload.data() + payload.size(), m_current.data() + m_current.size()));
    }

    void sendFlowExceptions(const std::string &instance, const FlowExceptionUpdate &batch) override
    {
        if (m_transport) {
            m_transport->sendFlowExceptions(instance, batch);
        }
    }

    void flush()
    {
        m_toServers.flush(m_back.native_handle());
        m_toFront.flush(m_front.native_handle());
    }

    asio::awaitable<void> readFront()
    {
        return read(m_front, &PacketEngine::frontDatagram);
    }

    asio::awaitable<void> readBack()
    {
        return read(m_back, &PacketEngine::backDatagram);
    }

    using Handler = void (PacketEngine::*)(std::span<const std::uint8_t>, Endpoint, TimePoint);

    asio::awaitable<void> read(udp::socket &socket, Handler handle)
    {
        DatagramBatch batch;
        while (!m_isStopped) {
            asio::error_code error;
            co_await socket.async_wait(udp::socket::wait_read, asio::redirect_error(asio::use_awaitable, error));
            for (int turn = 0; !error && !m_isStopped && turn < batchesPerTurn; ++turn) {
                const std::size_t count = batch.receive(socket.native_handle());
                const TimePoint now = m_clock.now();
                for (std::size_t index = 0; index < count; ++index) {
                    m_current = batch.datagram(index);
                    (m_engine.*handle)(m_current, batch.sender(index), now);
                }
                flush();
                m_current = {};
                if (count < DatagramBatch::maxDatagrams) {
                    break;
                }
            }
        }
    }

    asio::awaitable<void> tick()
    {
        while (!m_isStopped) {
            m_timer.expires_after(tickInterval);
            asio::error_code error;
            co_await m_timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
            m_engine.tick(m_clock.now());
            flush();
        }
    }

    const Clock &m_clock;
    DataPathSettings m_settings;
    udp::socket m_front;
    udp::socket m_back;
    asio::steady_timer m_timer;
    DatagramBatch m_toServers;
    DatagramBatch m_toFront;
    FlowExceptionTransport *m_transport = nullptr;
    std::span<const std::uint8_t> m_current; /**< datagram that is being decided */
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

void DataPath::setAnswerObserver(AnswerObserver *observer)
{
    m_implementation->m_engine.requests().setAnswerObserver(observer);
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
    writer.counter("samphirepitch_send_drops_total", "Datagrams that a socket did not take.", {},
        m_implementation->m_toServers.dropped() + m_implementation->m_toFront.dropped());
}

asio::awaitable<void> DataPath::run()
{
    Implementation &data = *m_implementation;
    const auto executor = co_await asio::this_coro::executor;
    int running = 2;
    asio::steady_timer ended(executor, asio::steady_timer::time_point::max());
    const auto onEnd = [&running, &ended](std::exception_ptr) {
        --running;
        ended.cancel();
    };
    asio::co_spawn(executor, data.readFront(), onEnd);
    asio::co_spawn(executor, data.readBack(), onEnd);
    co_await data.tick();
    while (running > 0) {
        asio::error_code error;
        co_await ended.async_wait(asio::redirect_error(asio::use_awaitable, error));
    }
}

void DataPath::stop()
{
    m_implementation->m_isStopped = true;
    m_implementation->m_timer.cancel();
    asio::error_code ignored;
    m_implementation->m_front.cancel(ignored);
    m_implementation->m_back.cancel(ignored);
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
    const RequestHandler &requests = m_implementation->m_engine.requests();
    return m_implementation->m_isDraining ? requests.unfinished() : requests.waiting();
}

std::uint64_t DataPath::activeGeneration() const
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

void DataPath::flowExceptionsReceived(const FlowExceptionUpdate &batch)
{
    m_implementation->m_engine.router().flowExceptionsReceived(batch, m_implementation->m_clock.now());
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
    m_implementation->m_engine.requests().setViewDeadline(deadline);
}

Endpoint DataPath::backAddress() const
{
    asio::error_code error;
    const udp::endpoint local = m_implementation->m_back.local_endpoint(error);
    return { local.address().to_v4().to_uint(), local.port() };
}

PacketEngine &DataPath::engine()
{
    return m_implementation->m_engine;
}

} // namespace Samphirepitch
