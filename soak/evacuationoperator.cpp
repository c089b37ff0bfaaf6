#include "soak/evacuationoperator.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Samphirepitch::Soak
{

namespace
{

using std::chrono::milliseconds;

const std::string kind = "evacuations";
constexpr std::uint64_t maxSpacing = 2500; // milliseconds between the begins of evacuations, short enough for them to overlap
constexpr milliseconds shortest { 100 };
constexpr std::uint64_t maxBrief = 900; // milliseconds added to the shortest; such an evacuation is withdrawn within a second
constexpr std::uint64_t maxLasting = 7000; // milliseconds added; beyond the 5 s after which new flows violate the invariant
// The one after the faults lasts until flows have been judged for some seconds: judging begins 5 s after the last fault.
constexpr std::uint64_t maxDelayAfterFaults = 1000; // milliseconds
constexpr milliseconds durationAfterFaults { 8000 };
constexpr milliseconds lastBegin { 9500 }; // after the last fault; of the brief evacuation of all domains
constexpr milliseconds lastDuration { 800 };

} // namespace

EvacuationOperator::EvacuationOperator(StoreStandin &store, SeededRandom random, std::uint32_t failureDomains)
    : m_store(store)
    , m_random(random)
{
    for (std::uint32_t number = 0; number < failureDomains; ++number) {
        m_requests["d" + std::to_string(number)] = {};
    }
}

std::vector<ScheduledStep> EvacuationOperator::plan(milliseconds faultDuration, milliseconds lastFault)
{
    std::vector<ScheduledStep> steps;
    for (milliseconds at(m_random.below(maxSpacing)); at < faultDuration; at += milliseconds(m_random.below(maxSpacing))) {
        const bool isBrief = m_random.below(3) == 0;
        // Evacuations among the faults end before those after them begin, so that the latter are written anew.
        const milliseconds duration = std::min(shortest + milliseconds(m_random.below(isBrief ? maxBrief : maxLasting)), lastFault - at);
        addSteps(steps, drawDomains(), at, duration);
    }
    addSteps(steps, drawDomains(), lastFault + milliseconds(m_random.below(maxDelayAfterFaults)), durationAfterFaults);
    Domains all;
    std::transform(m_requests.begin(), m_requests.end(), std::back_inserter(all), [](const auto &entry) { return entry.first; });
    addSteps(steps, all, lastFault + lastBegin, lastDuration);
    return steps;
}

void EvacuationOperator::writeAgain()
{
    for (auto &[domain, request] : m_requests) {
        if (request.count == 0) {
            m_store.remove(kind, domain);
            continue;
        }
        const std::uint64_t revision = m_store.revision();
        if (m_store.put(kind, domain, nlohmann::json::object()) != revision) {
            request.acceptedAt = std::chrono::steady_clock::now();
        }
    }
}

std::optional<EvacuationOperator::Time> EvacuationOperator::acceptedAt(const std::string &domain) const
{
    const auto found = m_requests.find(domain);
    return found == m_requests.end() || found->second.count == 0 ? std::nullopt : std::optional(found->second.acceptedAt);
}

void EvacuationOperator::addSteps(std::vector<ScheduledStep> &steps, Domains domains, milliseconds begin, milliseconds duration)
{
    std::string names;
    for (const std::string &domain : domains) {
        names += ' ' + domain;
    }
    steps.push_back({ begin, "evacuation of" + names + " begins", [this, domains] { this->begin(domains); } });
    steps.push_back({ begin + duration, "evacuation of" + names + " ends", [this, domains = std::move(domains)] { end(domains); } });
}

EvacuationOperator::Domains EvacuationOperator::drawDomains()
{
    constexpr std::uint64_t kinds = 5; // three of five evacuations are of one domain, one is of two, and one of all
    const std::uint64_t drawn = m_random.below(kinds);
    const std::size_t count = std::min<std::size_t>(m_requests.size(), drawn == 0 ? m_requests.size() : drawn == 1 ? 2 : 1);
    const std::size_t first = m_random.below(m_requests.size());
    Domains domains;
    for (std::size_t index = 0; index < count; ++index) {
        domains.push_back(std::next(m_requests.begin(), static_cast<std::ptrdiff_t>((first + index) % m_requests.size()))->first);
    }
    return domains;
}

void EvacuationOperator::begin(const Domains &domains)
{
    for (const std::string &domain : domains) {
        if (++m_requests[domain].count == 1) {
            m_store.put(kind, domain, nlohmann::json::object());
            m_requests[domain].acceptedAt = std::chrono::steady_clock::now();
        }
    }
}

void EvacuationOperator::end(const Domains &domains)
{
    for (const std::string &domain : domains) {
        if (--m_requests[domain].count == 0) {
            m_store.remove(kind, domain);
        }
    }
}

} // namespace Samphirepitch::Soak
