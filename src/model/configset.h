#pragma once

#include "model/backendpool.h"
#include "model/failuredomain.h"
#include "model/policy.h"
#include "model/service.h"

#include <vector>

namespace Samphirepitch
{

/** All objects of a configuration; each vector is sorted by name. */
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

    /** Sorts the objects by name. Duplicate names are kept, so that ConfigChecker can report them. */
    explicit ConfigSet(Fields fields);

    const std::vector<FailureDomain> &failureDomains() const;
    const std::vector<BackendPool> &pools() const;
    const std::vector<Policy> &policies() const;
    const std::vector<Service> &services() const;

    /** Return the object with the given name, or null if there is none. */
    const FailureDomain *failureDomain(std::string_view name) const;
    const BackendPool *pool(std::string_view name) const;
    const Policy *policy(std::string_view name) const;
    const Service *service(std::string_view name) const;

    friend bool operator==(const ConfigSet &, const ConfigSet &) = default;

private:
    Fields m_fields;
};

} // namespace Samphirepitch
