#pragma once

#include "model/configset.h"
#include "model/finding.h"

#include <vector>

namespace Samphirepitch
{

/** Validates a configuration: each object by itself and the references between objects. */
class ConfigChecker
{
public:
    /**
     * Returns all errors and warnings about @p set, or an empty vector if the set is valid.
     *
     * Errors are reported for: names that are empty, too long or contain characters other than a-z, 0-9 and '-'; duplicate
     * names; references to objects that do not exist; cycles of policies; addresses that are used twice; pools without an
     * active server of a weight above 0, as a whole or in a failure domain that the pool lists; values out of range.
     * Pools and policies that nothing refers to give a warning.
     */
    static std::vector<Finding> check(const ConfigSet &set);

private:
    explicit ConfigChecker(const ConfigSet &set);

    void checkNames();
    void checkService(const Service &service);
    void checkPool(const BackendPool &pool);
    void checkServer(const BackendPool &pool, const BackendServer &server);
    void checkActiveServers(const BackendPool &pool);
    void checkPolicy(const Policy &policy);
    void checkFallbackCycles();
    void checkAddresses();
    void checkUnused();

    void checkName(const std::string &object, const std::string &field, const std::string &name);
    void checkRange(const std::string &object, const std::string &field, std::int64_t value, std::int64_t minimum, std::int64_t maximum);
    void addError(std::string object, std::string field, std::string value, std::string remedy);
    void addWarning(std::string object, std::string field, std::string value, std::string remedy);

    const ConfigSet &m_set;
    std::vector<Finding> m_findings;
};

} // namespace Samphirepitch
