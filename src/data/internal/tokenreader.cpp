#include "data/internal/tokenreader.h"

#include "data/proxyheader.h"

#include <array>

// mpack.h defines bool as a macro unless there is one already.
#define bool bool
extern "C" {
#include <mpack.h>
}
#undef bool

namespace Samphirepitch
{

TokenReader::TokenReader(std::span<const std::uint8_t> bytes)
    : m_position(reinterpret_cast<const char *>(bytes.data()))
    , m_remaining(bytes.size())
{
}

tl::expected<Token, DecodeError> TokenReader::next()
{
    mpack_tokbuf_t buffer;
    mpack_tokbuf_init(&buffer);
    mpack_token_t rawToken;
    if (m_remaining == 0 || mpack_read(&buffer, &m_position, &m_remaining, &rawToken) != MPACK_OK) {
        return tl::unexpected(DecodeError::BadRpc);
    }
    Token token;
    switch (rawToken.type) {
    case MPACK_TOKEN_NIL:
        token.type = TokenType::Nil;
        break;
    case MPACK_TOKEN_UINT:
        token.type = rawToken.data.value.hi == 0 ? TokenType::Number : TokenType::Other;
        token.number = rawToken.data.value.lo;
        break;
    case MPACK_TOKEN_ARRAY:
        token.type = TokenType::Array;
        token.number = rawToken.length;
        break;
    case MPACK_TOKEN_MAP:
        token.type = TokenType::Map;
        token.number = rawToken.length;
        break;
    case MPACK_TOKEN_STR:
    case MPACK_TOKEN_BIN:
    case MPACK_TOKEN_EXT:
        if (rawToken.length > m_remaining) {
            return tl::unexpected(DecodeError::BadRpc);
        }
        token.type = rawToken.type == MPACK_TOKEN_STR ? TokenType::Text : TokenType::Other;
        token.text = std::string_view(m_position, rawToken.length);
        m_position += rawToken.length;
        m_remaining -= rawToken.length;
        break;
    default:
        break;
    }
    return token;
}

tl::expected<void, DecodeError> TokenReader::skip(std::uint64_t count, std::size_t maxDepth)
{
    // Number of unread values at each level of nesting. A fixed array, because the data path must not allocate.
    std::array<std::uint64_t, 32> remaining {};
    std::size_t depth = 0;
    remaining[0] = count;
    while (true) {
        if (remaining[depth] == 0) {
            if (depth == 0) {
                return {};
            }
            --depth;
            continue;
        }
        --remaining[depth];
        const auto token = next();
        if (!token) {
            return tl::unexpected(token.error());
        }
        if (token->type != TokenType::Array && token->type != TokenType::Map) {
            continue;
        }
        if (depth + 1 >= maxDepth || depth + 1 >= remaining.size()) {
            return tl::unexpected(DecodeError::TooDeep);
        }
        remaining[++depth] = static_cast<std::uint64_t>(token->number) * (token->type == TokenType::Map ? 2 : 1);
    }
}

bool TokenReader::atEnd() const
{
    return m_remaining == 0;
}

} // namespace Samphirepitch
