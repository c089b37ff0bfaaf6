#pragma once

#include <chrono>
#include <cstddef>

namespace Samphirepitch
{

/** Measures processor time of this thread and memory of this process between its construction and a reading. */
class ResourceMeter
{
public:
    ResourceMeter();

    /** Processor time of the calling thread. */
    std::chrono::nanoseconds cpuTime() const;

    /** Growth of allocated memory in bytes; 0 if it shrank. */
    std::size_t memoryGrowth() const;

private:
    std::chrono::nanoseconds m_cpuTimeStart;
    std::size_t m_memoryStart;
};

} // namespace Samphirepitch
