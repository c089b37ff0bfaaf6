#include "data/rpcrefusal.h"

#include <algorithm>

namespace Samphirepitch
{

namespace
{

// MessagePack formats. Encoded by hand into a fixed buffer, because a refusal under overload must not allocate.
constexpr std::uint8_t arrayOfFour = 0x94;
constexpr std::uint8_t mapOfFour = 0x84;
constexpr std::uint8_t response = 0x01;
constexpr std::uint8_t uint32Format = 0xce;
constexpr std::uint8_t str8Format = 0xd9;
constexpr std::uint8_t nilFormat = 0xc0;
constexpr std::size_t maxReason = 64;
constexpr std::size_t maxPolicy = 128;

} // namespace

RpcRefusal::RpcRefusal(
    std::uint32_t id, std::string_view outcome, std::string_view reason, std::string_view policy, std::chrono::milliseconds retryAfter)
{
    byte(arrayOfFour);
    byte(response);
    number(id);
    byte(mapOfFour);
    text("outcome"); // RpcEnvelope expects it first
    text(outcome);
    text("reason");
    text(reason.substr(0, maxReason));
    text("policy");
    text(policy.substr(0, maxPolicy));
    text("retry_after_ms");
    number(static_cast<std::uint32_t>(retryAfter.count()));
    byte(nilFormat);
}

std::span<const std::uint8_t> RpcRefusal::bytes() const
{
    return std::span(m_bytes).first(m_size);
}

void RpcRefusal::byte(std::uint8_t value)
{
    m_bytes[m_size++] = value;
}

void RpcRefusal::number(std::uint32_t value)
{
    byte(uint32Format);
    for (int shift = 24; shift >= 0; shift -= 8) {
        byte(static_cast<std::uint8_t>(value >> shift));
    }
}

void RpcRefusal::text(std::string_view value)
{
    byte(str8Format);
    byte(static_cast<std::uint8_t>(value.size()));
    std::copy(value.begin(), value.end(), m_bytes.begin() + static_cast<std::ptrdiff_t>(m_size));
    m_size += value.size();
}

} // namespace Samphirepitch
