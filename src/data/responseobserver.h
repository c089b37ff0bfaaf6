#pragma once

#include <chrono>

namespace Samphirepitch
{

/** Receives the response times of backend servers. */
class ResponseObserver
{
public:
    virtual ~ResponseObserver() = default;

    /**
     * Records one response that arrived before the deadline of its request. Responses that refuse the request as not run are not
     * reported. The data path calls this for each response, so an implementation must not allocate.
     * @param elapsed time from sending the request to the backend server until its response
     */
    virtual void recordResponseTime(std::chrono::nanoseconds elapsed) = 0;
};

} // namespace Samphirepitch
