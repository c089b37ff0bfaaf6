#pragma once

#include "core/error.h"
#include "objectstore/internal/httpparser.h"

#include <asio/awaitable.hpp>
#include <asio/ip/tcp.hpp>

#include <string>
#include <vector>

namespace Samphirepitch
{

/** A TCP stream of HTTP messages; keeps bytes that were read behind the end of a message for the next one. */
class HttpStream
{
public:
    explicit HttpStream(asio::ip::tcp::socket socket);

    asio::ip::tcp::socket &socket();

    /**
     * Waits until at least one byte of the next message is there.
     * @return InputOutput if the stream ended or failed
     */
    asio::awaitable<Result<void>> waitForData();

    /** Reads until @p parser is complete. @return InputOutput, Malformed or TooLarge */
    asio::awaitable<Result<void>> read(HttpParser &parser);

    /** Writes a head and a body, both of which must stay valid. @return InputOutput */
    asio::awaitable<Result<void>> write(const std::string &head, const std::string &body);

    /** Returns whether nothing is unread and the other side has not closed an idle connection. */
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
