#include "objectstore/httpresponse.h"

#include <utility>

namespace Samphirepitch
{

HttpResponse HttpResponse::of(int status, std::string contentType, std::string body)
{
    HttpResponse response = empty(status);
    response.headers.add("content-type", std::move(contentType));
    response.body = std::move(body);
    return response;
}

HttpResponse HttpResponse::empty(int status)
{
    HttpResponse response;
    response.status = status;
    return response;
}

} // namespace Samphirepitch
