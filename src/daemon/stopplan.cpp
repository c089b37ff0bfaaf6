#include "daemon/stopplan.h"

namespace Samphirepitch
{

StopPlan::StopPlan(TimePoint begun, std::chrono::nanoseconds timeout, std::chrono::nanoseconds linger)
    : m_deadline(begun + timeout)
    , m_linger(linger)
    , m_lingerEnd(begun + linger)
{
}

TimePoint StopPlan::deadline() const
{
    return m_deadline;
}

StopPlan::Step StopPlan::update(TimePoint now, std::size_t pending)
{
    if (pending > 0) {
        m_lingerEnd = now + m_linger;
    } else if (now >= m_lingerEnd) {
        return Step::End;
    }
    return now >= m_deadline ? Step::EndLate : Step::Wait;
}

} // namespace Samphirepitch
