#include "lib/fabricstandin.h"

#include "data/proxyheader.h"
#include "lib/changesignal.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <nlohmann/json.hpp>

#include <utility>

namespace Samphirepitch::StandIn
{

namespace
{

std::uint64_t serviceKey(Endpoint address)
{
    return static_cast<std::uint64_t>(address.address()) << 16 | address.port();
}

HttpResponse jsonResponse(std::string body)
{
    return HttpResponse::of(200, "application/json", std::move(body));
}

} // namespace

Result<std::unique_ptr<FabricStandIn>> FabricStandIn::start(asio::any_io_executor executor, Options options)
{
    std::unique_ptr<FabricStandIn> fabric(new FabricStandIn(std::move(executor), std::move(options)));
    if (const auto bound = fabric->bindAll(); !bound) {
        return tl::unexpected(bound.error());
    }
    for (const auto &service : fabric->m_serviceSockets) {
        asio::co_spawn(fabric->m_executor, fabric->forwardFromCallers(*service), asio::detached);
    }
    asio::co_spawn(fabric->m_executor, fabric->forwardFromInstances(), asio::detached);
    return fabric;
}

FabricStandIn::FabricStandIn(asio::any_io_executor executor, Options options)
    : m_executor(std::move(executor))
    , m_options(std::move(options))
    , m_random(m_options.seed)
{
}

Result<void> FabricStandIn::bindAll()
{
    for (const Endpoint address : m_options.services) {
        auto socket = DatagramSocket::bind(m_executor, address);
        if (!socket) {
            return tl::unexpected(socket.error());
        }
        m_serviceSocketByAddress[serviceKey((*socket)->address())] = socket->get();
        m_serviceSockets.push_back(std::move(*socket));
    }
    auto socket = DatagramSocket::bind(m_executor, m_options.returnAddress);
    if (!socket) {
        return tl::unexpected(socket.error());
    }
    m_returnSocket = std::move(*socket);
    return {};
}

asio::awaitable<void> FabricStandIn::forwardFromCallers(DatagramSocket &service)
{
    bool open = co_await service.waitForDatagram();
    while (open) {
        const std::size_t count = m_batch.receive(service.descriptor());
        for (std::size_t index = 0; index < count; ++index) {
            if (m_batch.isTruncated(index)) {
                ++m_counters.malformed;
                continue;
            }
            if (m_options.instances.empty()) {
                ++m_counters.withoutInstance;
                continue;
            }
            const ProxyHeader header({ .source = m_batch.sender(index), .destination = service.address() });
            const Endpoint instance = m_options.instances[m_random.below(m_options.instances.size())];
            send(*m_returnSocket, instance, m_batch.prependHeader(index, header), m_counters.toInstances);
        }
        flush(*m_returnSocket);
        open = co_await service.waitForDatagram();
    }
}

asio::awaitable<void> FabricStandIn::forwardFromInstances()
{
    // GCC 12 generates a wrong frame layout for a coroutine with co_await in a loop condition.
    bool open = co_await m_returnSocket->waitForDatagram();
    while (open) {
        forwardBatchToCallers(m_batch.receive(m_returnSocket->descriptor()));
        open = co_await m_returnSocket->waitForDatagram();
    }
}

void FabricStandIn::forwardBatchToCallers(std::size_t count)
{
    DatagramSocket *batchSocket = nullptr;
    for (std::size_t index = 0; index < count; ++index) {
        std::span<const std::uint8_t> payload;
        const auto header = ProxyHeader::decode(m_batch.datagram(index), payload);
        const auto service = header ? m_serviceSocketByAddress.find(serviceKey(header->source())) : m_serviceSocketByAddress.end();
        if (service == m_serviceSocketByAddress.end()) {
            ++m_counters.malformed;
            continue;
        }
        if (batchSocket != nullptr && batchSocket != service->second) {
            flush(*batchSocket);
        }
        batchSocket = service->second;
        send(*batchSocket, header->destination(), payload, m_counters.toCallers);
    }
    if (batchSocket != nullptr) {
        flush(*batchSocket);
    }
}

void FabricStandIn::send(DatagramSocket &from, Endpoint target, std::span<const std::uint8_t> bytes, std::uint64_t &counter)
{
    if (sampleFault(m_options.faults.lossPercent)) {
        ++m_counters.lost;
        return;
    }
    ++counter;
    if (sampleFault(m_options.faults.reorderingPercent)) {
        ++m_counters.reordered;
        asio::co_spawn(m_executor, sendDelayed(from, target, std::vector<std::uint8_t>(bytes.begin(), bytes.end())), asio::detached);
        return;
    }
    from.outgoing().add(target, bytes);
    if (sampleFault(m_options.faults.duplicationPercent)) {
        ++m_counters.duplicated;
        from.outgoing().add(target, bytes);
    }
}

asio::awaitable<void> FabricStandIn::sendDelayed(DatagramSocket &from, Endpoint target, std::vector<std::uint8_t> bytes)
{
    co_await pauseFor(m_executor, m_options.faults.reorderingDelay);
    from.outgoing().add(target, bytes);
    flush(from);
}

void FabricStandIn::flush(DatagramSocket &socket)
{
    const std::uint64_t before = socket.outgoing().dropped();
    socket.outgoing().flush();
    m_counters.lost += socket.outgoing().dropped() - before;
}

bool FabricStandIn::sampleFault(double percent)
{
    return percent > 0 && m_random.uniform() * 100 < percent;
}

asio::awaitable<std::optional<HttpResponse>> FabricStandIn::handle(HttpRequest request)
{
    const std::string path(request.path());
    if (path == "/standin/instances" && request.method == "POST") {
        co_return handleInstances(request.body);
    }
    if (path == "/standin/counters") {
        co_return countersResponse();
    }
    if (path != "/standin/faults") {
        co_return HttpResponse::empty(404);
    }
    if (request.method == "PUT") {
        const auto changed = m_options.faults.withChanges(request.body);
        if (!changed) {
            co_return HttpResponse::of(400, "text/plain", changed.error().describe());
        }
        m_options.faults = *changed;
    }
    co_return jsonResponse(m_options.faults.toJson());
}

HttpResponse FabricStandIn::handleInstances(const std::string &text)
{
    const auto list = nlohmann::json::parse(text, nullptr, false);
    std::vector<Endpoint> instances;
    for (const auto &entry : list.is_array() ? list : nlohmann::json::array({ nullptr })) {
        const auto endpoint = Endpoint::parse(entry.is_string() ? entry.get<std::string>() : std::string());
        if (!endpoint) {
            return HttpResponse::of(400, "text/plain", "expected a JSON array of \"ip:port\"");
        }
        instances.push_back(*endpoint);
    }
    setInstances(std::move(instances));
    return HttpResponse::empty(204);
}

HttpResponse FabricStandIn::countersResponse() const
{
    return jsonResponse(nlohmann::json { { "to_instances", m_counters.toInstances }, { "to_callers", m_counters.toCallers },
        { "lost", m_counters.lost }, { "without_instance", m_counters.withoutInstance }, { "malformed", m_counters.malformed },
        { "duplicated", m_counters.duplicated }, { "reordered", m_counters.reordered }, { "instances", m_options.instances.size() } }
                            .dump());
}

void FabricStandIn::setInstances(std::vector<Endpoint> instances)
{
    m_options.instances = std::move(instances);
}

const FabricStandIn::Counters &FabricStandIn::counters() const
{
    return m_counters;
}

std::vector<Endpoint> FabricStandIn::services() const
{
    std::vector<Endpoint> addresses;
    for (const auto &service : m_serviceSockets) {
        addresses.push_back(service->address());
    }
    return addresses;
}

Endpoint FabricStandIn::returnAddress() const
{
    return m_returnSocket->address();
}

void FabricStandIn::stop()
{
    for (const auto &service : m_serviceSockets) {
        service->close();
    }
    m_returnSocket->close();
}

} // namespace Samphirepitch::StandIn
