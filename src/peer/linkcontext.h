#pragma once

namespace Samphirepitch
{

class Clock;
class EventSink;
class LinkHandler;
struct LinkCounters;

/** Objects that all links of an instance share; all of them must outlive the links. */
struct LinkContext {
    LinkHandler &handler;
    const Clock &clock;
    EventSink &events;
    LinkCounters &counters;
};

} // namespace Samphirepitch
