#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace Samphirepitch
{

/** Reads an unsigned decimal number that fills the whole @p text. */
std::optional<std::uint64_t> parseDecimal(std::string_view text);

} // namespace Samphirepitch
