#include "objectstore/httpheaders.h"

#include <algorithm>
#include <utility>

namespace Samphirepitch
{

void HttpHeaders::add(std::string_view name, std::string value)
{
    std::string lower(name);
    std::transform(lower.begin(), lower.end(), lower.begin(), [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; });
    m_fields.push_back({ std::move(lower), std::move(value) });
}

const std::string *HttpHeaders::find(std::string_view name) const
{
    const auto found = std::find_if(m_fields.begin(), m_fields.end(), [name](const HttpHeader &field) { return field.name == name; });
    return found == m_fields.end() ? nullptr : &found->value;
}

const std::vector<HttpHeader> &HttpHeaders::fields() const
{
    return m_fields;
}

} // namespace Samphirepitch
