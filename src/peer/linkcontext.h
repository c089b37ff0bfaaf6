#pragma once

namespace Samphirepitch
{

class Clock;
class EventSink;
class LinkHandler;
struct LinkCounters;

/** What all links of an instance share; everything outlives the links. */
struct LinkContext {
    LinkHandler &handler;
    const Clock &clock;
    EventSink &events;
    LinkCounters &counters;
};

} // namespace Samphirepitch
