#include "daemon/gracefulstop.h"

namespace Samphirepitch
{

GracefulStop::GracefulStop(TimePoint start, std::chrono::nanoseconds timeout, std::chrono::nanoseconds linger)
    : m_deadline(start + timeout)
    , m_linger(linger)
    , m_lingerEnd(start + linger)
{
}

TimePoint GracefulStop::deadline() const
{
    return m_deadline;
}

GracefulStop::Decision GracefulStop::update(TimePoint now, std::size_t pending)
{
    if (pending > 0) {
        m_lingerEnd = now + m_linger;
    } else if (now >= m_lingerEnd) {
        return Decision::End;
    }
    return now >= m_deadline ? Decision::EndAtDeadline : Decision::Wait;
}

} // namespace Samphirepitch
