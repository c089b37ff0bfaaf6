#include "routing/flowexceptiontable.h"

namespace Samphirepitch
{

FlowExceptionTable::FlowExceptionTable(std::size_t maxFlows)
    : m_maxFlows(maxFlows)
{
}

bool FlowExceptionTable::insert(std::uint64_t service, std::uint64_t key, ServerIndex server, TimePoint deadline)
{
    FlowMap &flows = m_services[service];
    const auto known = flows.find(key);
    if (known != flows.end()) {
        known->second = { server, deadline };
        return true;
    }
    if (m_size == m_maxFlows) {
        return false;
    }
    flows.emplace(key, Entry { server, deadline });
    ++m_size;
    return true;
}

ServerIndex FlowExceptionTable::find(std::uint64_t service, std::uint64_t key, TimePoint now) const
{
    const auto flows = m_services.find(service);
    if (flows == m_services.end()) {
        return noServer;
    }
    const auto found = flows->second.find(key);
    return found == flows->second.end() || now >= found->second.deadline ? noServer : found->second.server;
}

void FlowExceptionTable::erase(std::uint64_t service, std::uint64_t key)
{
    const auto flows = m_services.find(service);
    if (flows != m_services.end()) {
        m_size -= flows->second.erase(key);
    }
}

void FlowExceptionTable::expire(TimePoint now)
{
    for (auto &[service, flows] : m_services) {
        m_size -= std::erase_if(flows, [now](const auto &entry) { return now >= entry.second.deadline; });
    }
    std::erase_if(m_services, [](const auto &entry) { return entry.second.empty(); });
}

void FlowExceptionTable::forEach(const std::function<void(std::uint64_t, std::uint64_t, ServerIndex)> &visit) const
{
    for (const auto &[service, flows] : m_services) {
        for (const auto &[key, exception] : flows) {
            visit(service, key, exception.server);
        }
    }
}

std::size_t FlowExceptionTable::size() const
{
    return m_size;
}

} // namespace Samphirepitch
