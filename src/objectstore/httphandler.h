#pragma once

#include "objectstore/httprequest.h"
#include "objectstore/httpresponse.h"

#include <asio/awaitable.hpp>

#include <optional>

namespace Samphirepitch
{

/** Answers the requests of an HttpServer. */
class HttpHandler
{
public:
    virtual ~HttpHandler() = default;

    /**
     * Answers a request; requests of different connections are handled concurrently on the server's executor.
     * @return the response, or nothing to close the connection without an answer
     */
    virtual asio::awaitable<std::optional<HttpResponse>> handle(HttpRequest request) = 0;
};

} // namespace Samphirepitch
