#pragma once

#include "data/responseobserver.h"

namespace Samphirepitch
{

class LatencyHistogram;

/** Records the response times of backend servers in a histogram. */
class ResponseTimeRecorder : public ResponseObserver
{
public:
    /** @param histogram receives each response time; must outlive this object */
    explicit ResponseTimeRecorder(LatencyHistogram &histogram);

    void recordResponseTime(std::chrono::nanoseconds elapsed) override;

private:
    LatencyHistogram &m_histogram;
};

} // namespace Samphirepitch
