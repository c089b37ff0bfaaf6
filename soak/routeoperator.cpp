#include "soak/routeoperator.h"

#include <algorithm>
#include <utility>

namespace Samphirepitch::Soak
{

namespace
{

using std::chrono::milliseconds;

constexpr std::uint64_t maxPresence = 2500; // milliseconds; upper bound of the time for which the route is there
constexpr milliseconds shortestPresence { 300 };
constexpr milliseconds shortestAbsence { 200 };
constexpr std::uint64_t maxBrief = 1600; // milliseconds added to the shortest absence; below the time until a version is in force
constexpr std::uint64_t maxLasting = 7000; // milliseconds added; above that time and the one after a fault
constexpr std::uint64_t lastingShare = 4; // one of so many removals is a lasting one

} // namespace

RouteOperator::RouteOperator(SeededRandom random, std::function<void()> writeConfiguration)
    : m_random(random)
    , m_writeConfiguration(std::move(writeConfiguration))
{
}

std::vector<ScheduledStep> RouteOperator::plan(milliseconds end)
{
    std::vector<ScheduledStep> steps;
    milliseconds at = shortestPresence + milliseconds(m_random.below(maxPresence));
    while (at + shortestAbsence < end) {
        const bool isLasting = m_random.below(lastingShare) == 0;
        const milliseconds backAt = std::min(at + shortestAbsence + milliseconds(m_random.below(isLasting ? maxLasting : maxBrief)), end);
        steps.push_back({ at, "a route that clients use is removed", [this] { setRemoved(true); } });
        steps.push_back({ backAt, "the removed route is put back", [this] { setRemoved(false); } });
        at = backAt + shortestPresence + milliseconds(m_random.below(maxPresence));
    }
    return steps;
}

void RouteOperator::setRemoved(bool removed)
{
    m_removed = removed;
    m_writeConfiguration();
}

bool RouteOperator::isRemoved() const
{
    return m_removed;
}

void RouteOperator::recordVersion(Time time)
{
    if (m_removed) {
        const bool isNew = m_removedAt == Time() || m_lastRemoved > m_removedAt;
        m_removedAt = isNew ? time : m_removedAt;
    } else if (m_removedAt != Time()) {
        m_removedAt = Time();
        m_lastRemoved = time;
    }
}

void RouteOperator::recordStoreReturn(Time time)
{
    m_lastRemoved = time;
}

std::optional<RouteOperator::Time> RouteOperator::removedSince() const
{
    return m_removedAt == Time() ? std::nullopt : std::optional(m_removedAt);
}

bool RouteOperator::wasRemovedSince(Time time) const
{
    return m_removed || m_removedAt != Time() || m_lastRemoved >= time;
}

} // namespace Samphirepitch::Soak
