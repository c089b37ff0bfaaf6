#pragma once

#include "load/callermessage.h"
#include "load/callersocket.h"

#include <map>
#include <vector>

namespace Samphirepitch::Testing
{

/** A caller with one socket, and so with one flow for each service address. */
class SystemCaller
{
public:
    /** A request and the responses received so far. */
    struct Request {
        Endpoint service;
        std::string method;
        std::string body;
        std::uint64_t workUs = 0;
        std::vector<CallerResponse> responses;
        std::vector<Endpoint> senders; /**< source addresses of the responses, parallel to responses */

        /** Returns whether the policies of SystemDeployment declare the method idempotent. */
        bool isIdempotent() const;

        /** Returns whether any response is of that kind. */
        bool has(ResponseKind kind) const;

        /** Returns whether the request needs no repetition: an idempotent request needs a result, any other request any response. */
        bool isComplete() const;
    };

    /**
     * Opens the socket.
     * @param executor runs the receiving
     * @param source local IPv4 address in host byte order
     */
    SystemCaller(const asio::any_io_executor &executor, std::uint32_t source);
    ~SystemCaller();

    SystemCaller(const SystemCaller &) = delete;
    SystemCaller &operator=(const SystemCaller &) = delete;

    /**
     * Sends a request with a new id.
     * @param service service address
     * @param method RPC method
     * @param workUs service time in microseconds
     * @return the id
     */
    std::uint32_t request(Endpoint service, const std::string &method, std::uint64_t workUs = 0);

    /** Sends a request again, with the same id. */
    void repeat(std::uint32_t id);

    /** Sends a notification; a backend server confirms it with a "seen" notification. */
    void sendNotification(Endpoint service);

    /** Sends a datagram with any payload. */
    void sendRaw(Endpoint service, std::string_view bytes);

    const std::map<std::uint32_t, Request> &requests() const;

    /** Returns the source address of the datagrams of this caller. */
    Endpoint address() const;

    /** Returns the number of requests that are not complete. */
    std::size_t incompleteRequests() const;

    /** Returns the "seen" notifications of backend servers, in the order received. */
    const std::vector<SeenNotification> &seenNotifications() const;

    /** Returns the number of received datagrams that belong to no request of this caller. */
    std::size_t unexpectedDatagrams() const;

private:
    void receive(Endpoint from, std::span<const char> datagram);
    void send(std::uint32_t id, const Request &request);

    std::shared_ptr<CallerSocket> m_socket;
    std::uint32_t m_source;
    std::uint32_t m_lastId = 0;
    std::map<std::uint32_t, Request> m_requests;
    std::vector<SeenNotification> m_seenNotifications;
    std::size_t m_unexpected = 0;
};

} // namespace Samphirepitch::Testing
