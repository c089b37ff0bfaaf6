#pragma once

#include <chrono>

namespace Samphirepitch
{

/** Takes the times that clients' packets show, and the ages of what decided about them. */
class StreamObserver
{
public:
    virtual ~StreamObserver() = default;

    /** A flow opened this long after its first opening packet. */
    virtual void recordOpeningTime(std::chrono::nanoseconds time) = 0;

    /** The first bytes of an answer were acknowledged this long after the request. */
    virtual void recordResponseTime(std::chrono::nanoseconds time) = 0;

    /** A flow was placed with views of these ages. */
    virtual void recordViewAges(std::chrono::nanoseconds servers, std::chrono::nanoseconds configuration) = 0;
};

} // namespace Samphirepitch
