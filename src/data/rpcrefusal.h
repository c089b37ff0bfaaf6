#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace Samphirepitch
{

/**
 * An RPC error response of the balancer itself: an error map with outcome, reason, policy and retry_after_ms (docs/design.md,
 * section 3).
 */
class RpcRefusal
{
public:
    /**
     * @param id id of the refused request
     * @param outcome "not_run" if the request certainly did not run, "unknown" if it may have run
     * @param reason stable lower-case name of the reason; cut off after 64 bytes
     * @param policy name of the policy of the service; cut off after 128 bytes
     * @param retryAfter time after which the caller should try again; 0 if there is no advice
     */
    RpcRefusal(
        std::uint32_t id, std::string_view outcome, std::string_view reason, std::string_view policy, std::chrono::milliseconds retryAfter);

    /** Returns the encoded response; valid as long as this object. */
    std::span<const std::uint8_t> bytes() const;

private:
    void appendByte(std::uint8_t value);
    void appendNumber(std::uint32_t value);
    void appendText(std::string_view value);

    std::array<std::uint8_t, 320> m_bytes {}; // 276 bytes are needed with all texts at their limits
    std::size_t m_size = 0;
};

} // namespace Samphirepitch
