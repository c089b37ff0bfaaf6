#include "system/systemcaller.h"

#include <algorithm>

namespace Samphirepitch::Testing
{

namespace
{

// Request ids differ between callers, so that a response that reaches the wrong caller is detected.
std::uint32_t nextFirstId()
{
    static std::uint32_t callers = 0;
    return ++callers * 1000;
}

} // namespace

bool SystemCaller::Request::isIdempotent() const
{
    return method != "check_in";
}

bool SystemCaller::Request::has(ResponseKind kind) const
{
    return std::any_of(responses.begin(), responses.end(), [kind](const CallerResponse &response) { return response.kind == kind; });
}

bool SystemCaller::Request::isComplete() const
{
    return isIdempotent() ? has(ResponseKind::Result) : !responses.empty();
}

SystemCaller::SystemCaller(const asio::any_io_executor &executor, std::uint32_t source)
    : m_source(source)
    , m_lastId(nextFirstId())
{
    m_socket = CallerSocket::open(executor, 0, m_source, [this](std::uint64_t, Endpoint from, std::span<const char> datagram) {
        receive(from, datagram);
    }).value();
}

SystemCaller::~SystemCaller()
{
    m_socket->close();
}

std::uint32_t SystemCaller::request(Endpoint service, const std::string &method, std::uint64_t workUs)
{
    const std::uint32_t id = ++m_lastId;
    const auto &entry = *m_requests.emplace(id, Request { service, method, "body of " + std::to_string(id), workUs, {}, {} }).first;
    send(id, entry.second);
    return id;
}

void SystemCaller::repeat(std::uint32_t id)
{
    send(id, m_requests.at(id));
}

void SystemCaller::sendNotification(Endpoint service)
{
    m_socket->send(service, encodeFeed("feed"));
}

void SystemCaller::sendRaw(Endpoint service, std::string_view bytes)
{
    m_socket->send(service, bytes);
}

const std::map<std::uint32_t, SystemCaller::Request> &SystemCaller::requests() const
{
    return m_requests;
}

Endpoint SystemCaller::address() const
{
    return m_socket->address();
}

std::size_t SystemCaller::incompleteRequests() const
{
    return static_cast<std::size_t>(
        std::count_if(m_requests.begin(), m_requests.end(), [](const auto &entry) { return !entry.second.isComplete(); }));
}

const std::vector<SeenNotification> &SystemCaller::seenNotifications() const
{
    return m_seenNotifications;
}

std::size_t SystemCaller::unexpectedDatagrams() const
{
    return m_unexpected;
}

void SystemCaller::receive(Endpoint from, std::span<const char> datagram)
{
    const CallerMessage message = CallerMessage::decode(datagram);
    if (message.seen) {
        m_seenNotifications.push_back(*message.seen);
        return;
    }
    const auto found = message.response ? m_requests.find(message.response->id) : m_requests.end();
    if (found == m_requests.end()) {
        ++m_unexpected;
        return;
    }
    found->second.responses.push_back(*message.response);
    found->second.senders.push_back(from);
}

void SystemCaller::send(std::uint32_t id, const Request &request)
{
    m_socket->send(request.service, encodeRequest(id, request.method, request.workUs, request.body));
}

} // namespace Samphirepitch::Testing
