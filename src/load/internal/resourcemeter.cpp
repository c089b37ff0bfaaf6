#include "load/internal/resourcemeter.h"

#include <ctime>
#include <malloc.h>

namespace Samphirepitch
{

namespace
{

std::chrono::nanoseconds threadTime()
{
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

std::size_t allocated()
{
    const struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

} // namespace

ResourceMeter::ResourceMeter()
    : m_processorStart(threadTime())
    , m_memoryStart(allocated())
{
}

std::chrono::nanoseconds ResourceMeter::processorTime() const
{
    return threadTime() - m_processorStart;
}

std::size_t ResourceMeter::memoryGrowth() const
{
    const std::size_t now = allocated();
    return now > m_memoryStart ? now - m_memoryStart : 0;
}

} // namespace Samphirepitch
