#pragma once

#include "objectstore/httpheaders.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Samphirepitch
{

/** An HTTP request. */
struct HttpRequest {
    std::string method = "GET";
    std::string target = "/"; /**< path and query as in the request line */
    HttpHeaders headers; /**< without host and content-length, which HttpConnection adds */
    std::string body;

    /** Returns the target without the query. */
    std::string_view path() const;

    /** Returns the value of the query parameter @p name without percent-decoding, or nothing if it is missing. */
    std::optional<std::string> query(std::string_view name) const;

    /** Returns the query parameter @p name as a decimal number, or nothing if it is missing or not an unsigned number. */
    std::optional<std::uint64_t> queryNumber(std::string_view name) const;

    friend bool operator==(const HttpRequest &, const HttpRequest &) = default;
};

} // namespace Samphirepitch
