#pragma once

#include <chrono>

namespace Samphirepitch
{

/** A point on the monotonic clock. Deadlines are stored as this type. */
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, std::chrono::nanoseconds>;

/** A point on the wall clock in milliseconds since the Unix epoch; used for display and for deadlines sent to backend servers. */
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/** The source of time. Nothing in the library reads a system clock by other means. */
class Clock
{
public:
    virtual ~Clock() = default;

    /** Returns the current time of the monotonic clock; it goes on while the process is stopped by a signal. */
    virtual TimePoint now() const = 0;

    /** Returns the current wall time. */
    virtual WallTime wallNow() const = 0;
};

/** The clocks of the operating system. */
class SteadyClock : public Clock
{
public:
    TimePoint now() const override;
    WallTime wallNow() const override;
};

/** A clock that only moves when a test or a driver moves it. */
class ManualClock : public Clock
{
public:
    TimePoint now() const override;
    WallTime wallNow() const override;

    /** Moves both clocks forward by @p step. */
    void advance(std::chrono::nanoseconds step);

private:
    std::chrono::nanoseconds m_elapsed { 0 };
};

} // namespace Samphirepitch
