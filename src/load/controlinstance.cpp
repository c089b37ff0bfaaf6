#include "load/controlinstance.h"

#include "core/clock.h"

#include <asio/co_spawn.hpp>

#include <algorithm>
#include <exception>
#include <utility>

namespace Samphirepitch
{

Result<std::unique_ptr<ControlInstance>> ControlInstance::start(
    const asio::any_io_executor &executor, const Clock &clock, Platform &platform, ControlPlaneSettings settings, std::uint64_t seed)
{
    std::unique_ptr<ControlInstance> instance(new ControlInstance(clock, seed));
    instance->m_settings = settings;
    ControlPlaneDependencies parts { clock, instance->m_random, instance->m_hybridClock, *instance, platform, *instance, *instance,
        *instance, { instance.get() }, {}, { instance.get() } };
    Result<std::unique_ptr<ControlPlane>> plane = ControlPlane::create(executor, std::move(settings), std::move(parts));
    if (!plane) {
        return tl::unexpected<Error>(plane.error());
    }
    instance->m_plane = std::move(*plane);
    asio::co_spawn(executor, instance->m_plane->run(), [ended = instance->m_ended](const std::exception_ptr &) { *ended = true; });
    return instance;
}

ControlInstance::ControlInstance(const Clock &clock, std::uint64_t seed)
    : m_clock(clock)
    , m_random(seed)
{
}

ControlPlane &ControlInstance::plane()
{
    return *m_plane;
}

ListedInstance ControlInstance::listed() const
{
    return { m_settings.instanceId, m_settings.failureDomain, m_plane->peerAddress(), m_settings.dataAddress, false };
}

const std::vector<std::uint64_t> &ControlInstance::adoptedGenerations() const
{
    return m_adoptedGenerations;
}

const std::vector<ServerStates> &ControlInstance::serverStates() const
{
    return m_serverStates;
}

const std::vector<FlowExceptionBatch> &ControlInstance::flowExceptions() const
{
    return m_flowExceptions;
}

std::size_t ControlInstance::eventCount(std::string_view name) const
{
    return static_cast<std::size_t>(
        std::count_if(m_events.begin(), m_events.end(), [name](const Event &event) { return event.name == name; }));
}

bool ControlInstance::isDrainRequested() const
{
    return m_drainRequested;
}

bool ControlInstance::hasEnded() const
{
    return *m_ended;
}

std::uint64_t ControlInstance::preparedGeneration() const
{
    return m_adoptedGenerations.empty() ? 0 : m_adoptedGenerations.back();
}

std::uint64_t ControlInstance::activeGeneration() const
{
    return m_active;
}

std::vector<Event> ControlInstance::eventsAfter(std::uint64_t sequence, std::size_t limit) const
{
    const std::size_t first = std::min<std::uint64_t>(sequence, m_events.size());
    const std::size_t last = std::min(first + limit, m_events.size());
    return { m_events.begin() + static_cast<std::ptrdiff_t>(first), m_events.begin() + static_cast<std::ptrdiff_t>(last) };
}

bool ControlInstance::drainRequested()
{
    return !std::exchange(m_drainRequested, true);
}

void ControlInstance::record(EventSeverity severity, std::string_view name, std::vector<EventField> fields)
{
    if (m_events.size() < maxEvents) {
        m_events.push_back(Event { m_settings.instanceId, m_events.size() + 1, m_hybridClock.tick(m_clock.wallNow()), severity,
            std::string(name), std::move(fields) });
    }
}

void ControlInstance::configurationChanged(const ConfigGeneration &generation)
{
    m_adoptedGenerations.push_back(generation.head.generation);
}

void ControlInstance::serverStatesChanged(const ServerStates &states)
{
    m_serverStates.push_back(states);
}

void ControlInstance::flowExceptionsReceived(const std::string &, const FlowExceptionBatch &exceptions)
{
    m_flowExceptions.push_back(exceptions);
}

void ControlInstance::flowExceptionsDelivered(const std::string &, std::uint64_t)
{
}

void ControlInstance::preparedEverywhere(std::uint64_t generation)
{
    m_active = std::min(generation, preparedGeneration());
    m_plane->progressChanged();
}

} // namespace Samphirepitch
