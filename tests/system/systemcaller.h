#pragma once

#include "load/callermessage.h"
#include "load/callersocket.h"

#include <map>
#include <vector>

namespace Samphirepitch::Testing
{

/** A caller with one socket, hence one flow for each service address. */
class SystemCaller
{
public:
    /** A request and all answers to it so far. */
    struct Request {
        Endpoint service;
        std::string method;
        std::string body;
        std::uint64_t workUs = 0;
        std::vector<CallerResponse> answers;
        std::vector<Endpoint> senders; /**< of the answers */

        /** Returns whether a policy of the deployment declares the method idempotent. */
        bool isIdempotent() const;

        /** Returns whether any answer is of that kind. */
        bool has(ResponseKind kind) const;

        /** Returns whether the caller stops repeating: an idempotent request needs a result, any other request an answer. */
        bool isSettled() const;
    };

    /** @param source IPv4 address in host byte order */
    SystemCaller(const asio::any_io_executor &executor, std::uint32_t source);
    ~SystemCaller();

    SystemCaller(const SystemCaller &) = delete;
    SystemCaller &operator=(const SystemCaller &) = delete;

    /** Sends a request under a new id. @return the id */
    std::uint32_t request(Endpoint service, const std::string &method, std::uint64_t workUs = 0);

    /** Sends a request again under its id. */
    void repeat(std::uint32_t id);

    /** Sends a notification. */
    void feed(Endpoint service);

    /** Sends any bytes. */
    void sendRaw(Endpoint service, std::string_view bytes);

    const std::map<std::uint32_t, Request> &requests() const;

    /** Returns the address that the service sees. */
    Endpoint address() const;

    /** Number of requests that are not settled. */
    std::size_t unsettled() const;

    /** What backend servers said of the notifications of this flow. */
    const std::vector<SeenNotification> &seen() const;

    /** Datagrams that answer none of the requests of this caller. */
    std::size_t unexpected() const;

private:
    void receive(Endpoint from, std::span<const char> datagram);
    void send(std::uint32_t id, const Request &request);

    std::shared_ptr<CallerSocket> m_socket;
    std::uint32_t m_source;
    std::uint32_t m_lastId = 0;
    std::map<std::uint32_t, Request> m_requests;
    std::vector<SeenNotification> m_seen;
    std::size_t m_unexpected = 0;
};

} // namespace Samphirepitch::Testing
