#pragma once

#include "core/clock.h"
#include "model/configgeneration.h"
#include "routing/routedservice.h"

#include <unordered_map>

namespace Samphirepitch
{

class ServerRegistry;

/** The services of one configuration generation, with their earlier placements that can still concern flows. Immutable once built. */
class ServiceTable
{
public:
    /** Creates an empty table of generation 0. */
    ServiceTable() = default;

    /**
     * Builds the table of a generation. Unchanged services are shared with the previous table.
     * @param generation configuration generation
     * @param previous table of the generation that was in use until now
     * @param servers registry in which the servers of the generation are updated
     * @param now current time, at which drains and placement changes begin
     */
    static std::shared_ptr<const ServiceTable> build(
        const ConfigGeneration &generation, const ServiceTable &previous, ServerRegistry &servers, TimePoint now);

    /** Returns the service with the address @p address, or null. */
    const RoutedService *service(Endpoint address) const;

    /** Returns the service with the id @p id, or null. */
    const RoutedService *service(std::uint64_t id) const;

    /**
     * Returns the service that had an address in an earlier generation and was removed, or null. It is kept until all requests have ended
     * that were sent to its servers before the removal.
     */
    const RoutedService *removedService(Endpoint address, TimePoint now) const;

    std::uint64_t generation() const;
    const std::unordered_map<std::uint64_t, std::shared_ptr<const RoutedService>> &services() const;

private:
    /** A service that a generation has removed. */
    struct RemovedService {
        std::shared_ptr<const RoutedService> service;
        TimePoint deadline {}; /**< of the last request that was sent to it */
    };

    void add(std::shared_ptr<const RoutedService> service);
    void remove(const RoutedService &service);

    std::uint64_t m_generation = 0;
    std::shared_ptr<const ConfigSet> m_set;
    std::unordered_map<std::uint64_t, std::shared_ptr<const RoutedService>> m_byId;
    std::unordered_map<std::uint64_t, const RoutedService *> m_byAddress;
    std::unordered_map<std::uint64_t, RemovedService> m_removed; // by address
};

} // namespace Samphirepitch
