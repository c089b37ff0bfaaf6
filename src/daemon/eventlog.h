#pragma once

#include "core/clock.h"
#include "core/eventsink.h"
#include "core/hybridclock.h"
#include "core/metricsource.h"
#include "daemon/logwriter.h"
#include "peer/eventsource.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace Samphirepitch
{

/** Writes events to the log and keeps the newest ones in a bounded buffer. The rate of each event name is limited. */
class EventLog : public EventSink, public EventSource, public MetricSource
{
public:
    struct Limits {
        std::size_t capacity = 4096; /**< maximum number of buffered events; the oldest are dropped */
        std::uint64_t rate = 20; /**< maximum number of events of one name per second; more are suppressed */
    };

    /**
     * @param instance id of this instance
     * @param clock source of the time in log lines and of the rate windows; must outlive this object
     * @param hybrid hybrid clock that is also used for messages between instances; must outlive this object
     * @param writer receives the log lines; must outlive this object
     * @param limits bounds of the buffer and of the rate
     */
    EventLog(std::string instance, const Clock &clock, HybridClock &hybrid, LogWriter &writer, Limits limits);

    void record(EventSeverity severity, std::string_view name, std::vector<EventField> fields) override;
    std::vector<Event> eventsAfter(std::uint64_t sequence, std::size_t limit) const override;
    void writeMetrics(MetricWriter &writer) const override;

    /** Sets the maximum number of events of one name per second for subsequent events. */
    void setRate(std::uint64_t rate);

    /** Reports suppressed events of each name whose one-second window is over. Must be called periodically and before the end. */
    void reportSuppressed();

    std::uint64_t lastSequence() const;
    std::uint64_t dropped() const;
    std::uint64_t suppressed() const;

private:
    /** Counts the events of one name in the current second. */
    struct RateWindow {
        TimePoint end;
        std::uint64_t count = 0;
        std::uint64_t suppressed = 0;
    };

    RateWindow &currentWindow(std::string_view name);
    void closeWindow(const std::string &name, RateWindow &window);
    void append(EventSeverity severity, std::string_view name, std::vector<EventField> fields);

    std::string m_instance;
    const Clock &m_clock;
    HybridClock &m_hybrid;
    LogWriter &m_writer;
    Limits m_limits;
    std::deque<Event> m_events;
    std::map<std::string, RateWindow, std::less<>> m_windows;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_suppressed = 0;
};

} // namespace Samphirepitch
