#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Samphirepitch
{

/** Encodes @p bytes as base64 with padding (RFC 4648). */
std::string encodeBase64(std::string_view bytes);

/** Decodes base64 with padding. @return the bytes, or nothing if @p text is not valid base64 */
std::optional<std::string> decodeBase64(std::string_view text);

} // namespace Samphirepitch
