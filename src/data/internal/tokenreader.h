#pragma once

#include <tl/expected.hpp>

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace Samphirepitch
{

enum class PacketFault;

/** The types of msgpack values that the data path tells apart. */
enum class TokenType {
    Nil,
    Number, /**< unsigned integer of at most 32 bits */
    Text, /**< str */
    Array,
    Map,
    Other,
};

/** One msgpack value; of containers only the header. */
struct Token {
    TokenType type = TokenType::Other;
    std::uint32_t number = 0; /**< value of a Number; count of children of an Array, pairs of a Map */
    std::string_view text; /**< bytes of a Text */
};

/** Reads msgpack values from a buffer without allocating, by libmpack's tokenizer. */
class TokenReader
{
public:
    explicit TokenReader(std::span<const std::uint8_t> bytes);

    /** Reads the next value; the bytes of strings and binaries are consumed with it. */
    tl::expected<Token, PacketFault> next();

    /** Skips @p count complete values with at most @p maxDepth levels of nesting. */
    tl::expected<void, PacketFault> skip(std::uint64_t count, std::size_t maxDepth);

    /** Returns whether all bytes are consumed. */
    bool atEnd() const;

private:
    const char *m_position;
    std::size_t m_left;
};

} // namespace Samphirepitch
