#pragma once

#include <chrono>

namespace Samphirepitch
{

/** A point in time on the monotonic clock. Deadlines are stored as this type. */
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, std::chrono::nanoseconds>;

/**
 * A point in time on the wall clock, in milliseconds since the Unix epoch. Used for display, for deadlines sent to backend servers and
 * for the times of health states.
 */
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/** Source of time. The library reads system clocks only through this interface, so that tests can replace them. */
class Clock
{
public:
    virtual ~Clock() = default;

    /**
     * Returns the current time of the monotonic clock, which must keep running while the process is stopped by a signal or the machine is
     * suspended. Its zero may differ from that of std::chrono::steady_clock, by which timers of Asio run.
     */
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

/** A clock that stands still until advance() is called, for tests and simulations. */
class ManualClock : public Clock
{
public:
    TimePoint now() const override;
    WallTime wallNow() const override;

    /** Advances the monotonic clock and the wall clock by @p step, which must not be negative. */
    void advance(std::chrono::nanoseconds step);

private:
    std::chrono::nanoseconds m_elapsed { 0 };
};

} // namespace Samphirepitch
