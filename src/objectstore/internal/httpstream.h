#pragma once

#include "core/error.h"
#include "objectstore/internal/httpparser.h"

#include <asio/awaitable.hpp>
#include <asio/ip/tcp.hpp>

#include <string>
#include <vector>

namespace Samphirepitch
{

/** A TCP stream of HTTP messages. Bytes received after the end of a message are buffered for the next one. */
class HttpStream
{
public:
    explicit HttpStream(asio::ip::tcp::socket socket);

    asio::ip::tcp::socket &socket();

    /**
     * Waits until at least one byte of the next message has been received.
     * @return InputOutput if the connection was closed or failed
     */
    asio::awaitable<Result<void>> waitForData();

    /**
     * Receives a message into @p parser.
     * @return InputOutput if the connection failed or was closed before the message; Malformed if the message is not valid or
     *  incomplete; TooLarge if it exceeds the limits of the parser
     */
    asio::awaitable<Result<void>> read(HttpParser &parser);

    /** Sends a header and a body, both of which must outlive the call. @return InputOutput if the connection failed */
    asio::awaitable<Result<void>> write(const std::string &head, const std::string &body);

    /** Returns whether the connection is open and has no unread bytes. */
    bool isIdle();

private:
    Result<void> consume(HttpParser &parser);
    asio::awaitable<Result<bool>> fill();

    asio::ip::tcp::socket m_socket;
    std::vector<char> m_buffer;
    std::size_t m_begin = 0;
    std::size_t m_end = 0;
};

} // namespace Samphirepitch
