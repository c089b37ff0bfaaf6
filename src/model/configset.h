#pragma once

#include "model/backendpool.h"
#include "model/failuredomain.h"
#include "model/policy.h"
#include "model/service.h"

#include <vector>

namespace Samphirepitch
{

/** The whole set of operator objects; each vector is sorted by name. */
class ConfigSet
{
public:
    /** The objects by kind. */
    struct Fields {
        std::vector<FailureDomain> failureDomains;
        std::vector<BackendPool> pools;
        std::vector<Policy> policies;
        std::vector<Service> services;

        friend bool operator==(const Fields &, const Fields &) = default;
    };

    ConfigSet() = default;

    /** Takes the objects and sorts them by name; duplicates stay, for ConfigChecker to find. */
    explicit ConfigSet(Fields fields);

    const std::vector<FailureDomain> &failureDomains() const;
    const std::vector<BackendPool> &pools() const;
    const std::vector<Policy> &policies() const;
    const std::vector<Service> &services() const;

    /** Return the object of that name, or null. */
    const FailureDomain *failureDomain(std::string_view name) const;
    const BackendPool *pool(std::string_view name) const;
    const Policy *policy(std::string_view name) const;
    const Service *service(std::string_view name) const;

    friend bool operator==(const ConfigSet &, const ConfigSet &) = default;

private:
    Fields m_fields;
};

} // namespace Samphirepitch
