#include "model/configchecker.h"

#include "model/limits.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace Samphirepitch
{

namespace
{

std::string objectLabel(const FailureDomain &domain)
{
    return "failure_domain " + domain.name();
}

std::string objectLabel(const BackendPool &pool)
{
    return "pool " + pool.name();
}

std::string objectLabel(const Policy &policy)
{
    return "policy " + policy.name();
}

std::string objectLabel(const Service &service)
{
    return "service " + service.name();
}

std::string objectLabel(const BackendPool &pool, const BackendServer &server)
{
    return "server " + pool.name() + "/" + server.name();
}

bool isNameCharacter(char character)
{
    return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9') || character == '-';
}

bool acceptsNewWork(const BackendServer &server)
{
    return server.state() == ServerState::Active && server.weight() > 0;
}

/** Returns each value that occurs more than once. */
std::vector<std::string> duplicates(std::vector<std::string> values)
{
    std::sort(values.begin(), values.end());
    std::vector<std::string> found;
    for (std::size_t index = 1; index < values.size(); ++index) {
        if (values[index] == values[index - 1] && (found.empty() || found.back() != values[index])) {
            found.push_back(values[index]);
        }
    }
    return found;
}

template<typename Object>
std::vector<std::string> namesOf(const std::vector<Object> &objects)
{
    std::vector<std::string> names;
    names.reserve(objects.size());
    for (const Object &object : objects) {
        names.push_back(object.name());
    }
    return names;
}

} // namespace

ConfigChecker::ConfigChecker(const ConfigSet &set)
    : m_set(set)
{
}

std::vector<Finding> ConfigChecker::check(const ConfigSet &set)
{
    ConfigChecker checker(set);
    checker.checkNames();
    for (const Policy &policy : set.policies()) {
        checker.checkPolicy(policy);
    }
    for (const BackendPool &pool : set.pools()) {
        checker.checkPool(pool);
    }
    for (const Service &service : set.services()) {
        checker.checkService(service);
    }
    checker.checkFallbackCycles();
    checker.checkAddresses();
    checker.checkUnused();
    return std::move(checker.m_findings);
}

void ConfigChecker::checkNames()
{
    const auto checkKind = [this](const auto &objects) {
        for (const auto &object : objects) {
            checkName(objectLabel(object), "name", object.name());
        }
        for (const std::string &name : duplicates(namesOf(objects))) {
            const auto firstObject
                = std::find_if(objects.begin(), objects.end(), [&name](const auto &object) { return object.name() == name; });
            addError(objectLabel(*firstObject), "name", name, "the name is used more than once; give each object its own name");
        }
    };
    checkKind(m_set.failureDomains());
    checkKind(m_set.pools());
    checkKind(m_set.policies());
    checkKind(m_set.services());
    for (const FailureDomain &domain : m_set.failureDomains()) {
        checkName(objectLabel(domain), "region", domain.region());
    }
}

void ConfigChecker::checkService(const Service &service)
{
    const std::string object = objectLabel(service);
    if (service.address().isUnset() || service.address().port() == 0) {
        addError(object, "address", service.address().toString(), "give the service an address with a port");
    }
    if (m_set.pool(service.pool()) == nullptr) {
        addError(object, "pool", service.pool(), "no pool has this name; add the pool or name an existing one");
    }
    if (m_set.policy(service.policy()) == nullptr) {
        addError(object, "policy", service.policy(), "no policy has this name; add the policy or name an existing one");
    }
}

void ConfigChecker::checkPool(const BackendPool &pool)
{
    const std::string object = objectLabel(pool);
    for (const BackendServer &server : pool.servers()) {
        checkServer(pool, server);
    }
    for (const std::string &name : duplicates(namesOf(pool.servers()))) {
        addError("server " + pool.name() + "/" + name, "name", name,
            "the name is used more than once in the pool; give each server its own name");
    }
    for (const std::string &name : duplicates(pool.domains())) {
        addError(object, "domains", name, "the failure domain is listed more than once; list it once");
    }
    if (pool.servers().size() > Limits::serversPerPool) {
        checkRange(object, "server", static_cast<std::int64_t>(pool.servers().size()), 0, Limits::serversPerPool);
    }
    if (pool.domains().size() > Limits::domainsPerPool) {
        checkRange(object, "domains", static_cast<std::int64_t>(pool.domains().size()), 0, Limits::domainsPerPool);
    }
    checkActiveServers(pool);
}

void ConfigChecker::checkServer(const BackendPool &pool, const BackendServer &server)
{
    const std::string object = objectLabel(pool, server);
    checkName(object, "name", server.name());
    if (m_set.failureDomain(server.failureDomain()) == nullptr) {
        addError(object, "failure_domain", server.failureDomain(), "no failure domain has this name; add it or name an existing one");
    }
    if (server.address().isUnset() || server.address().port() == 0) {
        addError(object, "address", server.address().toString(), "give the server an address with a port");
    }
    checkRange(object, "weight", server.weight(), 0, Limits::weight);
    checkRange(object, "slots", server.slots(), 1, Limits::slots);
    checkRange(object, "connections", server.connections(), 1, Limits::connections);
}

void ConfigChecker::checkActiveServers(const BackendPool &pool)
{
    const auto &servers = pool.servers();
    const std::string object = objectLabel(pool);
    if (servers.empty()) {
        addError(object, "server", "(none)", "add at least one server");
        return;
    }
    if (std::all_of(servers.begin(), servers.end(), [](const BackendServer &server) { return server.weight() == 0; })) {
        addError(object, "weight", "0", "all servers have weight 0; give at least one a weight of 1..100");
    } else if (std::none_of(servers.begin(), servers.end(), acceptsNewWork)) {
        addError(object, "state", "drain", "no server can take new work; keep at least one active with a weight above 0");
    }
    for (const std::string &domain : pool.domains()) {
        if (m_set.failureDomain(domain) == nullptr) {
            addError(object, "domains", domain, "no failure domain has this name; add it or remove the entry");
            continue;
        }
        const bool hasActiveServer = std::any_of(servers.begin(), servers.end(),
            [&domain](const BackendServer &server) { return server.failureDomain() == domain && acceptsNewWork(server); });
        if (!hasActiveServer) {
            addError(object, "domains", domain,
                "no active server with a weight above 0 is in this failure domain; add one or remove the domain from the list");
        }
    }
}

void ConfigChecker::checkPolicy(const Policy &policy)
{
    const std::string object = objectLabel(policy);
    if (!policy.fallback().empty() && m_set.policy(policy.fallback()) == nullptr) {
        addError(object, "fallback", policy.fallback(), "no policy has this name; add it or remove the fallback");
    }
    checkRange(object, "request_timeout_ms", policy.requestTimeout().count(), 1, Limits::requestTimeout);
    checkRange(object, "repeat_window_ms", policy.repeatWindow().count(), 1, Limits::repeatWindow);
    checkRange(object, "queue_limit", policy.queueLimit(), 0, Limits::queueLimit);
    checkRange(object, "retry_budget_percent", policy.retryBudgetPercent(), 0, Limits::retryBudgetPercent);
    checkRange(object, "drain_timeout_ms", policy.drainTimeout().count(), 1, Limits::drainTimeout);
    checkRange(object, "flow_idle_timeout_ms", policy.flowIdleTimeout().count(), 1, Limits::flowIdleTimeout);
    if (policy.repeatWindow() < policy.requestTimeout()) {
        // Otherwise the owner could forget the id of a request that is still running, and a retry would be executed a second time.
        addError(object, "repeat_window_ms", std::to_string(policy.repeatWindow().count()),
            "must be at least request_timeout_ms, which is " + std::to_string(policy.requestTimeout().count()));
    }
    if (policy.idempotentMethods().size() > Limits::methodsPerPolicy) {
        checkRange(object, "idempotent_methods", static_cast<std::int64_t>(policy.idempotentMethods().size()), 0, Limits::methodsPerPolicy);
    }
    for (const std::string &method : policy.idempotentMethods()) {
        if (method.empty() || method.size() > Limits::methodSize) {
            addError(object, "idempotent_methods", method.substr(0, Limits::nameSize),
                "use method names of 1.." + std::to_string(Limits::methodSize) + " bytes");
        }
    }
    for (const std::string &method : duplicates(policy.idempotentMethods())) {
        addError(object, "idempotent_methods", method, "the method is listed more than once; list it once");
    }
}

void ConfigChecker::checkFallbackCycles()
{
    // A chain with more steps than policies contains a cycle. Each cycle is reported once, for its alphabetically first policy.
    for (const Policy &policy : m_set.policies()) {
        std::string chain = policy.name();
        bool isFirstName = true;
        const Policy *next = m_set.policy(policy.fallback());
        for (std::size_t step = 0; next != nullptr && step < m_set.policies().size(); ++step) {
            chain += " -> " + next->name();
            if (next->name() == policy.name()) {
                if (isFirstName) {
                    addError(objectLabel(policy), "fallback", policy.fallback(),
                        "the references form a cycle: " + chain + "; remove one of them");
                }
                break;
            }
            isFirstName = isFirstName && policy.name() < next->name();
            next = m_set.policy(next->fallback());
        }
    }
}

void ConfigChecker::checkAddresses()
{
    struct AddressUse {
        std::string object;
        std::string field;
    };
    std::map<Endpoint, AddressUse> used;
    const auto checkUnique = [this, &used](Endpoint address, const std::string &object, const std::string &field) {
        if (address.isUnset()) {
            return;
        }
        const auto [firstUse, inserted] = used.try_emplace(address, AddressUse { object, field });
        if (!inserted) {
            addError(object, field, address.toString(),
                firstUse->second.object + " already uses this " + firstUse->second.field + "; give each its own address");
        }
    };
    for (const Service &service : m_set.services()) {
        checkUnique(service.address(), objectLabel(service), "address");
    }
    for (const BackendPool &pool : m_set.pools()) {
        for (const BackendServer &server : pool.servers()) {
            checkUnique(server.address(), objectLabel(pool, server), "address");
        }
    }
}

void ConfigChecker::checkUnused()
{
    std::set<std::string, std::less<>> used;
    for (const Service &service : m_set.services()) {
        used.insert("pool " + service.pool());
        used.insert("policy " + service.policy());
    }
    for (const Policy &policy : m_set.policies()) {
        used.insert("policy " + policy.fallback());
    }
    const auto warnIfUnused = [this, &used](const auto &object) {
        if (!used.contains(objectLabel(object))) {
            addWarning(objectLabel(object), "", "", "no service refers to it");
        }
    };
    std::for_each(m_set.pools().begin(), m_set.pools().end(), warnIfUnused);
    std::for_each(m_set.policies().begin(), m_set.policies().end(), warnIfUnused);
}

void ConfigChecker::checkName(const std::string &object, const std::string &field, const std::string &name)
{
    if (name.empty() || name.size() > Limits::nameSize || !std::all_of(name.begin(), name.end(), isNameCharacter)) {
        addError(object, field, name.substr(0, Limits::nameSize + 1),
            "use 1.." + std::to_string(Limits::nameSize) + " characters of a-z, 0-9 and '-'");
    }
}

void ConfigChecker::checkRange(
    const std::string &object, const std::string &field, std::int64_t value, std::int64_t minimum, std::int64_t maximum)
{
    if (value < minimum || value > maximum) {
        addError(object, field, std::to_string(value), "must be " + std::to_string(minimum) + ".." + std::to_string(maximum));
    }
}

void ConfigChecker::addError(std::string object, std::string field, std::string value, std::string remedy)
{
    Finding finding;
    finding.object = std::move(object);
    finding.field = std::move(field);
    finding.value = std::move(value);
    finding.remedy = std::move(remedy);
    m_findings.push_back(std::move(finding));
}

void ConfigChecker::addWarning(std::string object, std::string field, std::string value, std::string remedy)
{
    addError(std::move(object), std::move(field), std::move(value), std::move(remedy));
    m_findings.back().severity = FindingSeverity::Warning;
}

} // namespace Samphirepitch
