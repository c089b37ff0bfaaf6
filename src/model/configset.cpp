#include "model/configset.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace Samphirepitch
{

namespace
{

template<typename Object>
void sortByName(std::vector<Object> &objects)
{
    const auto byName = [](const Object &left, const Object &right) { return left.name() < right.name(); };
    // Sets built from an earlier set are already sorted.
    if (!std::is_sorted(objects.begin(), objects.end(), byName)) {
        std::stable_sort(objects.begin(), objects.end(), byName);
    }
}

template<typename Object>
const Object *findByName(const std::vector<Object> &objects, std::string_view name)
{
    const auto found = std::lower_bound(
        objects.begin(), objects.end(), name, [](const Object &object, std::string_view wanted) { return object.name() < wanted; });
    return found != objects.end() && found->name() == name ? &*found : nullptr;
}

} // namespace

ConfigSet::ConfigSet(Fields fields)
    : m_fields(std::move(fields))
{
    sortByName(m_fields.failureDomains);
    sortByName(m_fields.pools);
    sortByName(m_fields.policies);
    sortByName(m_fields.services);
}

const std::vector<FailureDomain> &ConfigSet::failureDomains() const
{
    return m_fields.failureDomains;
}

const std::vector<BackendPool> &ConfigSet::pools() const
{
    return m_fields.pools;
}

const std::vector<Policy> &ConfigSet::policies() const
{
    return m_fields.policies;
}

const std::vector<Service> &ConfigSet::services() const
{
    return m_fields.services;
}

const FailureDomain *ConfigSet::failureDomain(std::string_view name) const
{
    return findByName(m_fields.failureDomains, name);
}

const BackendPool *ConfigSet::pool(std::string_view name) const
{
    return findByName(m_fields.pools, name);
}

const Policy *ConfigSet::policy(std::string_view name) const
{
    return findByName(m_fields.policies, name);
}

const Service *ConfigSet::service(std::string_view name) const
{
    return findByName(m_fields.services, name);
}

} // namespace Samphirepitch
