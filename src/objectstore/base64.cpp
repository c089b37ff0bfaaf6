#include "objectstore/base64.h"

#include <array>
#include <cstdint>

namespace Samphirepitch
{

namespace
{

constexpr std::string_view alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr std::uint8_t invalid = 0xff;

constexpr std::array<std::uint8_t, 256> makeValues()
{
    std::array<std::uint8_t, 256> values {};
    for (std::uint8_t &value : values) {
        value = invalid;
    }
    for (std::size_t index = 0; index < alphabet.size(); ++index) {
        values[static_cast<std::uint8_t>(alphabet[index])] = static_cast<std::uint8_t>(index);
    }
    return values;
}

constexpr std::array<std::uint8_t, 256> sextets = makeValues();

} // namespace

std::string encodeBase64(std::string_view bytes)
{
    std::string text;
    text.reserve((bytes.size() + 2) / 3 * 4);
    for (std::size_t index = 0; index < bytes.size(); index += 3) {
        const std::string_view group = bytes.substr(index, 3);
        std::uint32_t bits = 0;
        for (std::size_t offset = 0; offset < 3; ++offset) {
            bits = bits << 8 | (offset < group.size() ? static_cast<std::uint8_t>(group[offset]) : 0);
        }
        for (std::size_t digit = 0; digit < 4; ++digit) {
            text += digit <= group.size() ? alphabet[bits >> (18 - 6 * digit) & 0x3f] : '=';
        }
    }
    return text;
}

std::optional<std::string> decodeBase64(std::string_view text)
{
    if (text.size() % 4 != 0) {
        return std::nullopt;
    }
    std::size_t padding = 0;
    while (padding < 2 && padding < text.size() && text[text.size() - 1 - padding] == '=') {
        ++padding;
    }
    std::string bytes;
    bytes.reserve(text.size() / 4 * 3);
    std::uint32_t bits = 0;
    for (std::size_t index = 0; index < text.size(); ++index) {
        const bool padded = index >= text.size() - padding;
        const std::uint8_t value = padded ? 0 : sextets[static_cast<std::uint8_t>(text[index])];
        if (value == invalid) {
            return std::nullopt;
        }
        bits = bits << 6 | value;
        if (index % 4 == 3) {
            bytes += { static_cast<char>(bits >> 16), static_cast<char>(bits >> 8), static_cast<char>(bits) };
            bits = 0;
        }
    }
    bytes.erase(bytes.size() - padding);
    return bytes;
}

} // namespace Samphirepitch
