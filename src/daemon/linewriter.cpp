#include "daemon/linewriter.h"

#include <poll.h>
#include <unistd.h>

namespace Samphirepitch
{

LineWriter::LineWriter(int descriptor)
    : m_descriptor(descriptor)
{
}

bool LineWriter::write(std::string_view line)
{
    if (m_lost > m_reportedLost && writeNow("event=log_lines_lost level=warning count=" + std::to_string(m_lost - m_reportedLost))) {
        m_reportedLost = m_lost;
    }
    if (writeNow(line)) {
        return true;
    }
    ++m_lost;
    return false;
}

std::uint64_t LineWriter::lost() const
{
    return m_lost;
}

bool LineWriter::writeNow(std::string_view line)
{
    pollfd ready { .fd = m_descriptor, .events = POLLOUT, .revents = 0 };
    if (poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) {
        return false;
    }
    m_buffer.assign(line.substr(0, maxLine - 1));
    m_buffer += '\n';
    return ::write(m_descriptor, m_buffer.data(), m_buffer.size()) == static_cast<ssize_t>(m_buffer.size());
}

} // namespace Samphirepitch
