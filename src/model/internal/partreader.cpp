#include "model/internal/partreader.h"

#include <algorithm>
#include <array>
#include <utility>

// mpack.h redefines bool unless a macro of this name exists.
#define bool bool
extern "C" {
#include <mpack.h>
}
#undef bool

namespace Samphirepitch
{

namespace
{

bool readToken(std::string_view &bytes, mpack_token_t &token)
{
    mpack_tokbuf_t buffer;
    mpack_tokbuf_init(&buffer);
    const char *position = bytes.data();
    std::size_t remaining = bytes.size();
    if (remaining == 0 || mpack_read(&buffer, &position, &remaining, &token) != MPACK_OK) {
        return false;
    }
    bytes.remove_prefix(bytes.size() - remaining);
    return true;
}

} // namespace

PartReader::PartReader(std::string_view bytes, std::string subject)
    : m_bytes(bytes)
    , m_subject(std::move(subject))
{
}

std::uint32_t PartReader::array(std::size_t limit)
{
    mpack_token_t token {};
    if (failed() || !readToken(m_bytes, token) || token.type != MPACK_TOKEN_ARRAY) {
        fail(ErrorKind::Malformed, "expected an array");
        return 0;
    }
    if (token.length > limit) {
        fail(ErrorKind::TooLarge, "the array has " + std::to_string(token.length) + " values; the maximum is " + std::to_string(limit));
        return 0;
    }
    // Each value takes at least one byte, so a larger count cannot be valid.
    if (token.length > m_bytes.size()) {
        fail(ErrorKind::Malformed, "the array is truncated");
        return 0;
    }
    return token.length;
}

void PartReader::tuple(std::size_t count)
{
    if (array(count) != count) {
        fail(ErrorKind::Malformed, "expected an array of " + std::to_string(count) + " values");
    }
}

std::uint64_t PartReader::number(std::uint64_t limit)
{
    mpack_token_t token {};
    if (failed() || !readToken(m_bytes, token) || token.type != MPACK_TOKEN_UINT) {
        fail(ErrorKind::Malformed, "expected an unsigned integer");
        return 0;
    }
    const std::uint64_t value = static_cast<std::uint64_t>(token.data.value.hi) << 32 | token.data.value.lo;
    if (value > limit) {
        fail(ErrorKind::Malformed, "the number " + std::to_string(value) + " is above the maximum of " + std::to_string(limit));
        return 0;
    }
    return value;
}

std::string_view PartReader::readSized(int type, std::size_t limit, const char *expected)
{
    mpack_token_t token {};
    if (failed() || !readToken(m_bytes, token) || token.type != static_cast<mpack_token_type_t>(type)) {
        fail(ErrorKind::Malformed, std::string(expected) + " was expected");
        return {};
    }
    if (token.length > limit) {
        fail(ErrorKind::TooLarge, std::string(expected) + " is longer than the maximum of " + std::to_string(limit) + " bytes");
        return {};
    }
    if (token.length > m_bytes.size()) {
        fail(ErrorKind::Malformed, std::string(expected) + " is truncated");
        return {};
    }
    const std::string_view content = m_bytes.substr(0, token.length);
    m_bytes.remove_prefix(token.length);
    return content;
}

std::string PartReader::text(std::size_t limit)
{
    return std::string(readSized(MPACK_TOKEN_STR, limit, "a string"));
}

std::string_view PartReader::binary(std::size_t size)
{
    const std::string_view content = readSized(MPACK_TOKEN_BIN, size, "a binary value");
    if (content.size() != size) {
        fail(ErrorKind::Malformed, "expected a binary value of " + std::to_string(size) + " bytes");
        return {};
    }
    return content;
}

ContentName PartReader::name()
{
    const std::string_view content = binary(ContentName::size);
    return content.empty() ? ContentName() : nameAt(content, 0);
}

bool PartReader::failed() const
{
    return !m_status.has_value();
}

void PartReader::fail(ErrorKind kind, std::string detail)
{
    if (!failed()) {
        m_status = failure(kind, m_subject, std::move(detail));
    }
}

Result<void> PartReader::finish()
{
    if (!m_bytes.empty()) {
        fail(ErrorKind::Malformed, std::to_string(m_bytes.size()) + " unexpected bytes after the last value");
    }
    return m_status;
}

ContentName nameAt(std::string_view bytes, std::size_t offset)
{
    std::array<std::uint8_t, ContentName::size> content {};
    std::copy_n(bytes.data() + offset, content.size(), content.begin());
    return ContentName(content);
}

} // namespace Samphirepitch
