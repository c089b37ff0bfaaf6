#pragma once

#include <chrono>
#include <cstddef>

namespace Samphirepitch
{

/** Measures the processor time of the calling thread and the allocated memory of this process since the meter's construction. */
class ResourceMeter
{
public:
    ResourceMeter();

    /** Returns the processor time that the calling thread has used; valid on the thread that constructed the meter. */
    std::chrono::nanoseconds cpuTime() const;

    /** Returns the growth of the allocated memory in bytes; 0 if it shrank. */
    std::size_t memoryGrowth() const;

private:
    std::chrono::nanoseconds m_cpuTimeStart;
    std::size_t m_memoryStart;
};

} // namespace Samphirepitch
