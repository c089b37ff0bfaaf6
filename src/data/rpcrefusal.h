#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace Samphirepitch
{

/** The balancer's own RPC answer: an error map with outcome, reason, policy and retry_after_ms (docs/design.md, section 3). */
class RpcRefusal
{
public:
    /**
     * @param id id of the refused request
     * @param outcome "not_run" or "unknown"
     * @param reason stable lower-case name, at most 64 bytes
     * @param policy name of the policy; what is beyond 128 bytes is cut off
     * @param retryAfter when the caller should try again; 0 if nothing is known
     */
    RpcRefusal(
        std::uint32_t id, std::string_view outcome, std::string_view reason, std::string_view policy, std::chrono::milliseconds retryAfter);

    /** The encoded RPC response. */
    std::span<const std::uint8_t> bytes() const;

private:
    void byte(std::uint8_t value);
    void number(std::uint32_t value);
    void text(std::string_view value);

    std::array<std::uint8_t, 320> m_bytes {}; // all texts at their limits need 276 bytes
    std::size_t m_size = 0;
};

} // namespace Samphirepitch
