#pragma once

#include "core/clock.h"
#include "model/configgeneration.h"
#include "routing/routedservice.h"

#include <unordered_map>

namespace Samphirepitch
{

class ServerRegistry;

/** The services of one generation by address, with the earlier placements that still matter. Never changes after it is built. */
class ServiceTable
{
public:
    /** An empty table: generation 0 without services. */
    ServiceTable() = default;

    /**
     * Builds the table of a generation. Services that didn't change are shared with the table before.
     * @param previous table of the generation that was in use until now
     * @param servers is given the servers of the generation
     */
    static std::shared_ptr<const ServiceTable> build(
        const ConfigGeneration &generation, const ServiceTable &previous, ServerRegistry &servers, TimePoint now);

    /** Returns the service at @p address, or null. */
    const RoutedService *service(Endpoint address) const;

    /** Returns the service with the id, or null. */
    const RoutedService *service(std::uint64_t id) const;

    std::uint64_t generation() const;
    const std::unordered_map<std::uint64_t, std::shared_ptr<const RoutedService>> &services() const;

private:
    void add(std::shared_ptr<const RoutedService> service);
    void remove(const RoutedService &service);

    std::uint64_t m_generation = 0;
    std::shared_ptr<const ConfigSet> m_set;
    std::unordered_map<std::uint64_t, std::shared_ptr<const RoutedService>> m_byId;
    std::unordered_map<std::uint64_t, const RoutedService *> m_byAddress;
};

} // namespace Samphirepitch
