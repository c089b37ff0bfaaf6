#include "data/internal/tokenreader.h"

#include "data/proxyheader.h"

#include <array>

// The header defines bool as a macro unless it finds one.
#define bool bool
extern "C" {
#include <mpack.h>
}
#undef bool

namespace Samphirepitch
{

TokenReader::TokenReader(std::span<const std::uint8_t> bytes)
    : m_position(reinterpret_cast<const char *>(bytes.data()))
    , m_left(bytes.size())
{
}

tl::expected<Token, PacketFault> TokenReader::next()
{
    mpack_tokbuf_t buffer;
    mpack_tokbuf_init(&buffer);
    mpack_token_t raw;
    if (m_left == 0 || mpack_read(&buffer, &m_position, &m_left, &raw) != MPACK_OK) {
        return tl::unexpected(PacketFault::BadRpc);
    }
    Token token;
    switch (raw.type) {
    case MPACK_TOKEN_NIL:
        token.type = TokenType::Nil;
        break;
    case MPACK_TOKEN_UINT:
        token.type = raw.data.value.hi == 0 ? TokenType::Number : TokenType::Other;
        token.number = raw.data.value.lo;
        break;
    case MPACK_TOKEN_ARRAY:
        token.type = TokenType::Array;
        token.number = raw.length;
        break;
    case MPACK_TOKEN_MAP:
        token.type = TokenType::Map;
        token.number = raw.length;
        break;
    case MPACK_TOKEN_STR:
    case MPACK_TOKEN_BIN:
    case MPACK_TOKEN_EXT:
        if (raw.length > m_left) {
            return tl::unexpected(PacketFault::BadRpc);
        }
        token.type = raw.type == MPACK_TOKEN_STR ? TokenType::Text : TokenType::Other;
        token.text = std::string_view(m_position, raw.length);
        m_position += raw.length;
        m_left -= raw.length;
        break;
    default:
        break;
    }
    return token;
}

tl::expected<void, PacketFault> TokenReader::skip(std::uint64_t count, std::size_t maxDepth)
{
    // Values still to read on each level of nesting; a fixed array because the data path must not allocate.
    std::array<std::uint64_t, 32> left {};
    std::size_t depth = 0;
    left[0] = count;
    while (true) {
        if (left[depth] == 0) {
            if (depth == 0) {
                return {};
            }
            --depth;
            continue;
        }
        --left[depth];
        const auto token = next();
        if (!token) {
            return tl::unexpected(token.error());
        }
        if (token->type != TokenType::Array && token->type != TokenType::Map) {
            continue;
        }
        if (depth + 1 >= maxDepth || depth + 1 >= left.size()) {
            return tl::unexpected(PacketFault::TooDeep);
        }
        left[++depth] = static_cast<std::uint64_t>(token->number) * (token->type == TokenType::Map ? 2 : 1);
    }
}

bool TokenReader::atEnd() const
{
    return m_left == 0;
}

} // namespace Samphirepitch
