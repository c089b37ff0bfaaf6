#include "load/internal/resourcemeter.h"

#include <ctime>
#include <malloc.h>

namespace Samphirepitch
{

namespace
{

std::chrono::nanoseconds threadCpuTime()
{
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

std::size_t allocatedBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

} // namespace

ResourceMeter::ResourceMeter()
    : m_cpuTimeStart(threadCpuTime())
    , m_memoryStart(allocatedBytes())
{
}

std::chrono::nanoseconds ResourceMeter::cpuTime() const
{
    return threadCpuTime() - m_cpuTimeStart;
}

std::size_t ResourceMeter::memoryGrowth() const
{
    const std::size_t now = allocatedBytes();
    return now > m_memoryStart ? now - m_memoryStart : 0;
}

} // namespace Samphirepitch
