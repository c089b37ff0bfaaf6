#include "data/rpcrefusal.h"

#include <algorithm>

namespace Samphirepitch
{

namespace
{

// MessagePack format bytes. The response is encoded into a fixed buffer, because refusing requests under overload must not allocate.
constexpr std::uint8_t arrayOfFour = 0x94;
constexpr std::uint8_t mapOfFour = 0x84;
constexpr std::uint8_t responseKind = 0x01;
constexpr std::uint8_t uint32Format = 0xce;
constexpr std::uint8_t str8Format = 0xd9;
constexpr std::uint8_t nilFormat = 0xc0;
constexpr std::size_t maxReason = 64;
constexpr std::size_t maxPolicy = 128;

} // namespace

RpcRefusal::RpcRefusal(
    std::uint32_t id, std::string_view outcome, std::string_view reason, std::string_view policy, std::chrono::milliseconds retryAfter)
{
    appendByte(arrayOfFour);
    appendByte(responseKind);
    appendNumber(id);
    appendByte(mapOfFour);
    appendText("outcome"); // must be the first entry, which is the only one that RpcEnvelope reads
    appendText(outcome);
    appendText("reason");
    appendText(reason.substr(0, maxReason));
    appendText("policy");
    appendText(policy.substr(0, maxPolicy));
    appendText("retry_after_ms");
    appendNumber(static_cast<std::uint32_t>(retryAfter.count()));
    appendByte(nilFormat);
}

std::span<const std::uint8_t> RpcRefusal::bytes() const
{
    return std::span(m_bytes).first(m_size);
}

void RpcRefusal::appendByte(std::uint8_t value)
{
    m_bytes[m_size++] = value;
}

void RpcRefusal::appendNumber(std::uint32_t value)
{
    appendByte(uint32Format);
    for (int shift = 24; shift >= 0; shift -= 8) {
        appendByte(static_cast<std::uint8_t>(value >> shift));
    }
}

void RpcRefusal::appendText(std::string_view value)
{
    appendByte(str8Format);
    appendByte(static_cast<std::uint8_t>(value.size()));
    std::copy(value.begin(), value.end(), m_bytes.begin() + static_cast<std::ptrdiff_t>(m_size));
    m_size += value.size();
}

} // namespace Samphirepitch
