#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Samphirepitch
{

/** One header field of an HTTP message. */
struct HttpHeader {
    std::string name; /**< lower-case */
    std::string value;

    friend bool operator==(const HttpHeader &, const HttpHeader &) = default;
};

/** The header fields of an HTTP message in the order in which they were added. */
class HttpHeaders
{
public:
    /** Adds a field; @p name is stored in lower case. */
    void add(std::string_view name, std::string value);

    /** Returns the value of the first field @p name (lower-case), or null. */
    const std::string *find(std::string_view name) const;

    const std::vector<HttpHeader> &fields() const;

    friend bool operator==(const HttpHeaders &, const HttpHeaders &) = default;

private:
    std::vector<HttpHeader> m_fields;
};

} // namespace Samphirepitch
