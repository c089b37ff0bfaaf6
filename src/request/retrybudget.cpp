#include "request/retrybudget.h"

#include <algorithm>

namespace Samphirepitch
{

namespace
{
constexpr std::uint32_t creditPerRetry = 100;
} // namespace

RetryBudget::RetryBudget(std::uint32_t percent)
    : m_percent(percent)
{
}

void RetryBudget::setPercent(std::uint32_t percent)
{
    m_percent = percent;
}

void RetryBudget::recordRequest()
{
    m_credit = std::min(m_credit + m_percent, maxSavedRetries * creditPerRetry);
}

bool RetryBudget::takeRetry()
{
    if (m_credit < creditPerRetry) {
        return false;
    }
    m_credit -= creditPerRetry;
    return true;
}

} // namespace Samphirepitch
