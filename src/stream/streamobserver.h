#pragma once

#include <chrono>

namespace Samphirepitch
{

/** Receives the latencies that packets of clients show, and the ages of the data that placed their flows. */
class StreamObserver
{
public:
    virtual ~StreamObserver() = default;

    /** Records the time between the first opening packet of a flow and the next packet of its client. */
    virtual void recordOpeningTime(std::chrono::nanoseconds time) = 0;

    /** Records the time from a request to the acknowledgement of the first bytes of its response. */
    virtual void recordResponseTime(std::chrono::nanoseconds time) = 0;

    /**
     * Records how old the instance's views of the store were when a flow was placed.
     * @param servers the time since the list of servers was last confirmed
     * @param configuration the time since the configuration was last confirmed
     */
    virtual void recordViewAges(std::chrono::nanoseconds servers, std::chrono::nanoseconds configuration) = 0;
};

} // namespace Samphirepitch
