#include "daemon/answerlatency.h"

#include "daemon/latencyhistogram.h"

namespace Samphirepitch
{

AnswerLatency::AnswerLatency(LatencyHistogram &histogram)
    : m_histogram(histogram)
{
}

void AnswerLatency::answered(std::chrono::nanoseconds elapsed)
{
    m_histogram.record(elapsed);
}

} // namespace Samphirepitch
