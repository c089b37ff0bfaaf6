#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace Samphirepitch
{

/** Parses an unsigned decimal number. @return nothing if @p text contains anything else or the number exceeds 64 bits */
std::optional<std::uint64_t> parseDecimal(std::string_view text);

} // namespace Samphirepitch
