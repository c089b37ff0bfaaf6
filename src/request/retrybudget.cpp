#include "request/retrybudget.h"

#include <algorithm>

namespace Samphirepitch
{

namespace
{
constexpr std::uint32_t oneRetry = 100;
} // namespace

RetryBudget::RetryBudget(std::uint32_t percent)
    : m_percent(percent)
{
}

void RetryBudget::setPercent(std::uint32_t percent)
{
    m_percent = percent;
}

void RetryBudget::requestSent()
{
    m_saved = std::min(m_saved + m_percent, maxSaved * oneRetry);
}

bool RetryBudget::takeRetry()
{
    if (m_saved < oneRetry) {
        return false;
    }
    m_saved -= oneRetry;
    return true;
}

} // namespace Samphirepitch
