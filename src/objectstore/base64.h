#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Samphirepitch
{

/** Returns @p bytes in base64 with padding (RFC 4648). */
std::string encodeBase64(std::string_view bytes);

/** Reads base64 with padding; nothing if @p text is not valid. */
std::optional<std::string> decodeBase64(std::string_view text);

} // namespace Samphirepitch
