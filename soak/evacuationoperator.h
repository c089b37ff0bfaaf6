#pragma once

#include "core/random.h"
#include "soak/scheduledstep.h"
#include "soak/storestandin.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Samphirepitch::Soak
{

/** The operator who evacuates failure domains with objects in the store and withdraws that again. */
class EvacuationOperator
{
public:
    using Time = std::chrono::steady_clock::time_point;

    /** How long the run lasts after the last fault, so that an evacuation after it is checked and the service returns. */
    static constexpr std::chrono::milliseconds observationTime { 12000 };

    /**
     * @param store must outlive the operator
     * @param random stream of random numbers of its own, so that the rest of a seed's schedule stays the same
     * @param failureDomains number of failure domains, whose names are d0, d1 and so on
     */
    EvacuationOperator(StoreStandin &store, SeededRandom random, std::uint32_t failureDomains);

    /**
     * Draws evacuations of one, two or all domains among the faults, which may overlap, and two after them: a long one and one of all
     * domains that is withdrawn within a second.
     * @param faultDuration time before which the evacuations among the faults begin
     * @param lastFault time from which no fault begins
     * @return the steps, which refer to this operator
     */
    std::vector<ScheduledStep> plan(std::chrono::milliseconds faultDuration, std::chrono::milliseconds lastFault);

    /** Repeats all requests in force and withdraws all others, as a store that returned from an older copy may lack them. */
    void writeAgain();

    /** Returns when the store accepted the evacuation of @p domain that is in force, or nothing if there is none. */
    std::optional<Time> acceptedAt(const std::string &domain) const;

private:
    using Domains = std::vector<std::string>;

    struct Request {
        int count = 0; // evacuations in force that include the domain
        Time acceptedAt;
    };

    void addSteps(std::vector<ScheduledStep> &steps, Domains domains, std::chrono::milliseconds begin, std::chrono::milliseconds duration);
    Domains drawDomains();
    void begin(const Domains &domains);
    void end(const Domains &domains);

    StoreStandin &m_store;
    SeededRandom m_random;
    std::map<std::string, Request> m_requests; // by domain; has all domains
};

} // namespace Samphirepitch::Soak
