#pragma once

#include "data/answerobserver.h"

namespace Samphirepitch
{

class LatencyHistogram;

/** Counts the answer times of backend servers in a histogram. */
class AnswerLatency : public AnswerObserver
{
public:
    /** @param histogram must outlive this object */
    explicit AnswerLatency(LatencyHistogram &histogram);

    void answered(std::chrono::nanoseconds elapsed) override;

private:
    LatencyHistogram &m_histogram;
};

} // namespace Samphirepitch
