#pragma once

#include <chrono>

namespace Samphirepitch
{

/** Hears of each answer that a backend server gave in time. */
class AnswerObserver
{
public:
    virtual ~AnswerObserver() = default;

    /** @param elapsed time from sending the request to the backend server until its answer; must not allocate */
    virtual void answered(std::chrono::nanoseconds elapsed) = 0;
};

} // namespace Samphirepitch
