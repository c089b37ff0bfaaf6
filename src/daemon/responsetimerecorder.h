#pragma once

#include "data/responseobserver.h"

namespace Samphirepitch
{

class LatencyHistogram;

/** Counts the answer times of backend servers in a histogram. */
class ResponseTimeRecorder : public ResponseObserver
{
public:
    /** @param histogram must outlive this object */
    explicit ResponseTimeRecorder(LatencyHistogram &histogram);

    void recordResponseTime(std::chrono::nanoseconds elapsed) override;

private:
    LatencyHistogram &m_histogram;
};

} // namespace Samphirepitch
