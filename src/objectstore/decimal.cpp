#include "objectstore/decimal.h"

#include <charconv>

namespace Samphirepitch
{

std::optional<std::uint64_t> parseDecimal(std::string_view text)
{
    std::uint64_t value = 0;
    const char *const end = text.data() + text.size();
    const auto [stop, status] = std::from_chars(text.data(), end, value);
    if (status != std::errc() || stop != end) {
        return std::nullopt;
    }
    return value;
}

} // namespace Samphirepitch
