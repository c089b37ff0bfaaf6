#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Samphirepitch
{

/** A header field of an HTTP message. */
struct HttpHeader {
    std::string name; /**< in lower case */
    std::string value;

    friend bool operator==(const HttpHeader &, const HttpHeader &) = default;
};

/** The header fields of an HTTP message in order of insertion. */
class HttpHeaders
{
public:
    /** Appends a field. @p name is converted to lower case. */
    void add(std::string_view name, std::string value);

    /** Returns the value of the first field with the given lower-case name, or null if there is none. */
    const std::string *find(std::string_view name) const;

    const std::vector<HttpHeader> &fields() const;

    friend bool operator==(const HttpHeaders &, const HttpHeaders &) = default;

private:
    std::vector<HttpHeader> m_fields;
};

} // namespace Samphirepitch
