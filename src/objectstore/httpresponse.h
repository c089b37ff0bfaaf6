#pragma once

#include "objectstore/httpheaders.h"

#include <string>

namespace Samphirepitch
{

/** An HTTP response. */
struct HttpResponse {
    int status = 200; /**< 100..599 */
    HttpHeaders headers; /**< without content-length and connection, which HttpServer adds */
    std::string body;

    /** Returns a response with the body @p body of the media type @p contentType. */
    static HttpResponse of(int status, std::string contentType, std::string body);

    /** Returns a response without a body. */
    static HttpResponse empty(int status);

    friend bool operator==(const HttpResponse &, const HttpResponse &) = default;
};

} // namespace Samphirepitch
