#include "daemon/answerlatency.h"

#include "daemon/latencyhistogram.h"

namespace Samphirepitch
{

AnswerLatency::AnswerLatency(LatencyHistogram &histogram)
    : m_histogram(histogram)
{
}

void AnswerLatency::recordResponseTime(std::chrono::nanoseconds elapsed)
{
    m_histogram.record(elapsed);
}

} // namespace Samphirepitch
