#pragma once

#include <vector>

namespace Samphirepitch
{

class Clock;
class ConfigListener;
class DrainHandler;
class EventSink;
class EventSource;
class GenerationSource;
class HybridClock;
class MemberListener;
class PeerListener;
class Platform;
class RandomSource;

/** Objects that the control plane uses but does not own; all of them must outlive it. */
struct ControlPlaneDependencies {
    const Clock &clock;
    RandomSource &random;
    HybridClock &hybridClock; /**< shared with the event log */
    EventSink &events;
    Platform &platform;
    const GenerationSource &generations;
    const EventSource &eventSource;
    DrainHandler &drainHandler;
    std::vector<ConfigListener *> configListeners;
    std::vector<MemberListener *> memberListeners;
    std::vector<PeerListener *> peerListeners;
};

} // namespace Samphirepitch
