#pragma once

#include <tl/expected.hpp>

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace Samphirepitch
{

enum class DecodeError;

/** The types of MessagePack values that the data path distinguishes. */
enum class TokenType {
    Nil,
    Number, /**< unsigned integer below 2^32 */
    Text, /**< format family str */
    Array,
    Map,
    Other, /**< any other type, and integers that are negative or at least 2^32 */
};

/** One MessagePack value; for arrays and maps only the header, without the elements. */
struct Token {
    TokenType type = TokenType::Other;
    std::uint32_t number = 0; /**< value of a Number; number of elements of an Array or of pairs of a Map */
    std::string_view text; /**< bytes of a Text; points into the buffer */
};

/** Reads MessagePack values from a buffer with the tokenizer of libmpack, without allocating. */
class TokenReader
{
public:
    /** @param bytes the buffer; must outlive the reader and the tokens */
    explicit TokenReader(std::span<const std::uint8_t> bytes);

    /**
     * Reads the next value, together with the bytes of a string, binary or extension.
     * @return the value, or BadRpc if the buffer ends before it or the format is invalid
     */
    tl::expected<Token, DecodeError> next();

    /**
     * Skips values together with their elements.
     * @param count number of values
     * @param maxDepth depth of nesting at which a value is rejected; at most 32
     * @return nothing, or BadRpc if a value is incomplete or invalid, or TooDeep
     */
    tl::expected<void, DecodeError> skip(std::uint64_t count, std::size_t maxDepth);

    /** Returns whether all bytes are consumed. */
    bool atEnd() const;

private:
    const char *m_position;
    std::size_t m_remaining;
};

} // namespace Samphirepitch
