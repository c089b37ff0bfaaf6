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

/** A client's HTTP/1.1 connection; connects when it is first used and stays open between exchanges. Carries one exchange at a time. */
class HttpConnection
{
public:
    /**
     * @param executor runs all operations; single-threaded
     * @param clock must outlive the connection
     * @param address the server
     * @param limits what is accepted from the server
     */
    HttpConnection(asio::any_io_executor executor, const Clock &clock, Endpoint address, const HttpLimits &limits = {});
    ~HttpConnection();
    HttpConnection(const HttpConnection &) = delete;
    HttpConnection &operator=(const HttpConnection &) = delete;

    /**
     * Sends a request and reads its response.
     * @return the response;
     *  Unavailable if no connection could be made, or DeadlineExceeded before the first byte was sent (no effect);
     *  OutcomeUnknown if the request was sent, at least in part, and no complete response came;
     *  Malformed or TooLarge if the response was not readable or above the limits
     */
    asio::awaitable<Result<HttpResponse>> exchange(HttpRequest request, TimePoint deadline);

    /** Closes the connection; a running exchange ends with an error. */
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
