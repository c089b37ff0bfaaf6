#include "model/policy.h"

#include <utility>

namespace Samphirepitch
{

Policy::Policy(Fields fields)
    : m_fields(std::make_shared<const Fields>(std::move(fields)))
{
}

const std::string &Policy::name() const
{
    return m_fields->name;
}

const std::string &Policy::fallback() const
{
    return m_fields->fallback;
}

std::chrono::milliseconds Policy::requestTimeout() const
{
    return m_fields->requestTimeout;
}

std::chrono::milliseconds Policy::repeatWindow() const
{
    return m_fields->repeatWindow;
}

std::uint32_t Policy::queueLimit() const
{
    return m_fields->queueLimit;
}

std::uint32_t Policy::retryBudgetPercent() const
{
    return m_fields->retryBudgetPercent;
}

const std::vector<std::string> &Policy::idempotentMethods() const
{
    return m_fields->idempotentMethods;
}

std::chrono::milliseconds Policy::drainTimeout() const
{
    return m_fields->drainTimeout;
}

std::chrono::milliseconds Policy::flowIdleTimeout() const
{
    return m_fields->flowIdleTimeout;
}

bool operator==(const Policy &left, const Policy &right)
{
    return left.m_fields == right.m_fields || *left.m_fields == *right.m_fields;
}

} // namespace Samphirepitch
