#pragma once

#include <cstdint>

namespace Samphirepitch
{

/** Bounds retries to a percentage of requests, so that retries can't multiply an overload. */
class RetryBudget
{
public:
    /** Retries that can be saved up; lets a service with few requests retry after a server died. */
    static constexpr std::uint32_t maxSavedRetries = 10;

    /** @param percent retries for each 100 requests */
    explicit RetryBudget(std::uint32_t percent);

    /** Changes the percentage; what is saved up stays. */
    void setPercent(std::uint32_t percent);

    /** Counts a request that is sent for the first time. */
    void recordRequest();

    /** Takes one retry; returns false if there is none. */
    bool takeRetry();

private:
    std::uint32_t m_percent;
    std::uint32_t m_credit = 0; /**< hundredths of a retry */
};

} // namespace Samphirepitch
