#include "daemon/responsetimerecorder.h"

#include "daemon/latencyhistogram.h"

namespace Samphirepitch
{

ResponseTimeRecorder::ResponseTimeRecorder(LatencyHistogram &histogram)
    : m_histogram(histogram)
{
}

void ResponseTimeRecorder::recordResponseTime(std::chrono::nanoseconds elapsed)
{
    m_histogram.record(elapsed);
}

} // namespace Samphirepitch
