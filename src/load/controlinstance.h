#pragma once

#include "core/hybridclock.h"
#include "core/random.h"
#include "membership/memberlistener.h"
#include "model/configgeneration.h"
#include "peer/controlplane.h"
#include "peer/drainhandler.h"
#include "peer/eventsource.h"
#include "peer/generationsource.h"
#include "peer/peerlistener.h"

#include <asio/any_io_executor.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace Samphirepitch
{

class Clock;

/** An instance without a data path, for measurements and tests of the control plane. It records what its listeners receive. */
class ControlInstance : public GenerationSource,
                        public EventSource,
                        public DrainHandler,
                        public EventSink,
                        private ConfigListener,
                        private PeerListener
{
public:
    /**
     * Starts an instance; its tasks run on @p executor.
     * @param clock outlives the instance
     * @param platform outlives the instance
     * @param seed seed of the instance's random numbers
     * @return the instance, or the error of ControlPlane::create()
     */
    static Result<std::unique_ptr<ControlInstance>> start(
        const asio::any_io_executor &executor, const Clock &clock, Platform &platform, ControlPlaneSettings settings, std::uint64_t seed);

    ControlPlane &plane();

    /** Returns the entry of the instance in the platform's instance list. */
    ListedInstance listed() const;

    /** Returns the adopted generations in the order of their adoption. */
    const std::vector<std::uint64_t> &adoptedGenerations() const;

    /** Returns the states of backend servers received from peers. */
    const std::vector<ServerStates> &serverStates() const;

    /** Returns the flow exceptions received from peers. */
    const std::vector<FlowExceptionBatch> &flowExceptions() const;

    /** Returns the number of recorded events with the name @p name. */
    std::size_t eventCount(std::string_view name) const;

    /** Returns whether an operator has requested a graceful stop. */
    bool isDrainRequested() const;

    /** Returns whether all tasks of the control plane have ended. */
    bool hasEnded() const;

    std::uint64_t preparedGeneration() const override;
    std::uint64_t activeGeneration() const override;
    std::vector<Event> eventsAfter(std::uint64_t sequence, std::size_t limit) const override;
    bool drainRequested() override;
    void record(EventSeverity severity, std::string_view name, std::vector<EventField> fields) override;

private:
    static constexpr std::size_t maxEvents = 1024; // later events are dropped

    ControlInstance(const Clock &clock, std::uint64_t seed);

    void configurationChanged(const ConfigGeneration &generation) override;
    void serverStatesChanged(const ServerStates &states) override;
    void flowExceptionsReceived(const std::string &peer, const FlowExceptionBatch &exceptions) override;
    void flowExceptionsDelivered(const std::string &peer, std::uint64_t sequence) override;
    void preparedEverywhere(std::uint64_t generation) override;

    const Clock &m_clock;
    SeededRandom m_random;
    HybridClock m_hybridClock;
    ControlPlaneSettings m_settings;
    std::unique_ptr<ControlPlane> m_plane;
    std::vector<std::uint64_t> m_adoptedGenerations;
    std::vector<ServerStates> m_serverStates;
    std::vector<FlowExceptionBatch> m_flowExceptions;
    std::vector<Event> m_events;
    std::uint64_t m_active = 0;
    bool m_drainRequested = false;
    std::shared_ptr<bool> m_ended = std::make_shared<bool>(false);
};

} // namespace Samphirepitch
