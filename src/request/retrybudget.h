#pragma once

#include <cstdint>

namespace Samphirepitch
{

/** Limits retries to a percentage of the requests, so that retries can't amplify an overload. */
class RetryBudget
{
public:
    /** Maximum number of unused retries that are kept. They let a service with few requests retry after the failure of a server. */
    static constexpr std::uint32_t maxSavedRetries = 10;

    /** @param percent retries allowed for each 100 requests */
    explicit RetryBudget(std::uint32_t percent);

    /** Changes the percentage and keeps the unused retries. */
    void setPercent(std::uint32_t percent);

    /** Records the first attempt of a request, which adds to the budget. */
    void recordRequest();

    /** Takes one retry from the budget; returns false if there is none. */
    bool takeRetry();

private:
    std::uint32_t m_percent;
    std::uint32_t m_credit = 0; /**< unused retries, in hundredths of a retry */
};

} // namespace Samphirepitch
