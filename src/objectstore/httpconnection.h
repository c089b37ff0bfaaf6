#pragma once

#include "core/clock.h"
#include "core/endpoint.h"
#include "core/error.h"
#include "objectstore/httplimits.h"
#include "objectstore/httprequest.h"
#include "objectstore/httpresponse.h"

#include <asio/any_io_executor.hpp>
#include <asio/awaitable.hpp>

#include <memory>

namespace Samphirepitch
{

class HttpStream;

/** A persistent HTTP/1.1 client connection, opened by the first exchange. Exchanges must not overlap. */
class HttpConnection
{
public:
    /**
     * @param executor executor of all operations; must be single-threaded
     * @param clock must outlive the connection
     * @param address address of the server
     * @param limits limits of the responses that are accepted
     */
    HttpConnection(asio::any_io_executor executor, const Clock &clock, Endpoint address, const HttpLimits &limits = {});
    ~HttpConnection();
    HttpConnection(const HttpConnection &) = delete;
    HttpConnection &operator=(const HttpConnection &) = delete;

    /**
     * Sends a request and receives its response.
     * @return the response;
     *  Unavailable if the connection could not be opened (no effect);
     *  DeadlineExceeded if the deadline passed before the first byte was sent (no effect);
     *  OutcomeUnknown if the request was sent, at least in part, and no complete response was received;
     *  Malformed if the response is not valid HTTP;
     *  TooLarge if the response exceeds the limits
     */
    asio::awaitable<Result<HttpResponse>> exchange(HttpRequest request, TimePoint deadline);

    /** Closes the connection. A running exchange fails. */
    void close();

private:
    asio::awaitable<Result<void>> connect(HttpStream &stream);
    asio::awaitable<Result<HttpResponse>> transfer(std::shared_ptr<HttpStream> stream, const HttpRequest &request);

    asio::any_io_executor m_executor;
    const Clock &m_clock;
    Endpoint m_address;
    HttpLimits m_limits;
    std::shared_ptr<HttpStream> m_stream;
    bool m_reusable = false;
    TimePoint m_reuseDeadline {};
};

} // namespace Samphirepitch
