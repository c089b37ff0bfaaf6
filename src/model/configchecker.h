#pragma once

#include "model/configset.h"
#include "model/finding.h"

#include <vector>

namespace Samphirepitch
{

/** Checks a whole set of operator objects together. */
class ConfigChecker
{
public:
    /**
     * Returns all findings about @p set at once, errors and warnings; empty if nothing was found.
     *
     * Errors: names that are empty, too long or use other characters than a-z, 0-9 and '-'; duplicate names; references to
     * objects that do not exist; policies that refer to each other in a cycle; addresses that are used twice; pools that
     * have no active server with a weight above 0 where they must have one; values out of range.
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
