#pragma once

#include "data/responseobserver.h"

namespace Samphirepitch
{

class LatencyHistogram;

/** Counts the answer times of backend servers in a histogram. */
class AnswerLatency : public ResponseObserver
{
public:
    /** @param histogram must outlive this object */
    explicit AnswerLatency(LatencyHistogram &histogram);

    void recordResponseTime(std::chrono::nanoseconds elapsed) override;

private:
    LatencyHistogram &m_histogram;
};

} // namespace Samphirepitch
