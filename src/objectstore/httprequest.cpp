#include "objectstore/httprequest.h"

#include "objectstore/decimal.h"

namespace Samphirepitch
{

std::string_view HttpRequest::path() const
{
    return std::string_view(target).substr(0, target.find('?'));
}

std::optional<std::string> HttpRequest::query(std::string_view name) const
{
    const std::size_t queryStart = target.find('?');
    std::string_view rest = queryStart == std::string::npos ? std::string_view() : std::string_view(target).substr(queryStart + 1);
    while (!rest.empty()) {
        const std::string_view pair = rest.substr(0, rest.find('&'));
        rest.remove_prefix(pair.size() < rest.size() ? pair.size() + 1 : pair.size());
        const std::size_t equals = pair.find('=');
        if (equals != std::string_view::npos && pair.substr(0, equals) == name) {
            return std::string(pair.substr(equals + 1));
        }
    }
    return std::nullopt;
}

std::optional<std::uint64_t> HttpRequest::queryNumber(std::string_view name) const
{
    const auto text = query(name);
    return text ? parseDecimal(*text) : std::nullopt;
}

} // namespace Samphirepitch
