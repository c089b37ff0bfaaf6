#include "model/objectfields.h"

#include <vector>

namespace Samphirepitch
{

namespace
{

std::string joined(const std::vector<std::string> &values)
{
    std::string text = "[";
    for (const std::string &value : values) {
        text += (text.size() > 1 ? ", " : "") + value;
    }
    return text + "]";
}

std::string milliseconds(std::chrono::milliseconds value)
{
    return std::to_string(value.count());
}

} // namespace

FieldTexts fieldTexts(const FailureDomain &domain)
{
    return { { "region", domain.region() } };
}

FieldTexts fieldTexts(const BackendPool &pool)
{
    return { { "domains", joined(pool.domains()) } };
}

FieldTexts fieldTexts(const BackendServer &server)
{
    return { { "failure_domain", server.failureDomain() }, { "address", server.address().toString() },
        { "health", server.health().isUnset() ? "" : server.health().toString() }, { "weight", std::to_string(server.weight()) },
        { "slots", std::to_string(server.slots()) }, { "connections", std::to_string(server.connections()) },
        { "state", server.state() == ServerState::Active ? "active" : "drain" } };
}

FieldTexts fieldTexts(const Policy &policy)
{
    return { { "fallback", policy.fallback() }, { "request_timeout_ms", milliseconds(policy.requestTimeout()) },
        { "repeat_window_ms", milliseconds(policy.repeatWindow()) }, { "queue_limit", std::to_string(policy.queueLimit()) },
        { "retry_budget_percent", std::to_string(policy.retryBudgetPercent()) },
        { "idempotent_methods", joined(policy.idempotentMethods()) }, { "drain_timeout_ms", milliseconds(policy.drainTimeout()) },
        { "flow_idle_timeout_ms", milliseconds(policy.flowIdleTimeout()) } };
}

FieldTexts fieldTexts(const Service &service)
{
    return { { "address", service.address().toString() }, { "protocol", service.protocol() == Protocol::Rpc ? "rpc" : "opaque" },
        { "affinity", service.affinity() == Affinity::Flow ? "flow" : "request" }, { "pool", service.pool() },
        { "policy", service.policy() } };
}

std::map<std::string, FieldTexts> objectTexts(const ConfigSet &set)
{
    std::map<std::string, FieldTexts> objects;
    for (const FailureDomain &domain : set.failureDomains()) {
        objects["failure_domain " + domain.name()] = fieldTexts(domain);
    }
    for (const BackendPool &pool : set.pools()) {
        objects["pool " + pool.name()] = fieldTexts(pool);
        for (const BackendServer &server : pool.servers()) {
            objects["server " + pool.name() + "/" + server.name()] = fieldTexts(server);
        }
    }
    for (const Policy &policy : set.policies()) {
        objects["policy " + policy.name()] = fieldTexts(policy);
    }
    for (const Service &service : set.services()) {
        objects["service " + service.name()] = fieldTexts(service);
    }
    return objects;
}

} // namespace Samphirepitch
