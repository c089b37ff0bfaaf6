#include "lib/runledger.h"

#include "core/hash.h"

#include <nlohmann/json.hpp>

namespace Samphirepitch::StandIn
{

namespace
{

std::uint64_t packEndpoint(Endpoint endpoint)
{
    return static_cast<std::uint64_t>(endpoint.address()) << 16 | endpoint.port();
}

} // namespace

RunLedger::RunLedger(std::size_t limit)
    : m_maxEntries(limit)
{
}

std::size_t RunLedger::Hash::operator()(const Key &key) const
{
    return mix64(mix64(packEndpoint(key.service), packEndpoint(key.caller)), key.id);
}

std::uint32_t RunLedger::Entry::runs() const
{
    std::uint32_t sum = 0;
    for (const auto &[server, count] : runsByServer) {
        sum += count;
    }
    return sum;
}

std::uint32_t RunLedger::record(const Key &key, const std::string &method, const std::string &server)
{
    const auto [entry, added] = m_entries.try_emplace(key);
    if (added) {
        entry->second.method = method;
        m_insertionOrder.push_back(key);
    }
    ++m_runs;
    const std::uint32_t count = ++entry->second.runsByServer[server];
    if (m_insertionOrder.size() > m_maxEntries) {
        m_entries.erase(m_insertionOrder.front());
        m_insertionOrder.pop_front();
        ++m_evicted;
    }
    return count;
}

std::uint32_t RunLedger::runs(const Key &key) const
{
    const auto entry = m_entries.find(key);
    return entry == m_entries.end() ? 0 : entry->second.runs();
}

std::string RunLedger::toJson(bool repeatedOnly, std::size_t maxEntries) const
{
    nlohmann::json list = nlohmann::json::array();
    std::uint64_t repeated = 0;
    for (auto key = m_insertionOrder.rbegin(); key != m_insertionOrder.rend(); ++key) {
        const Entry &entry = m_entries.at(*key);
        const std::uint32_t runs = entry.runs();
        repeated += runs > 1 ? 1 : 0;
        if (list.size() < maxEntries && (runs > 1 || !repeatedOnly)) {
            list.push_back({ { "service", key->service.toString() }, { "caller", key->caller.toString() }, { "id", key->id },
                { "method", entry.method }, { "runs", runs }, { "servers", entry.runsByServer } });
        }
    }
    return nlohmann::json {
        { "requests", m_entries.size() }, { "runs", m_runs }, { "repeated", repeated }, { "forgotten", m_evicted }, { "entries", list }
    }.dump();
}

void RunLedger::clear()
{
    m_entries.clear();
    m_insertionOrder.clear();
    m_runs = 0;
    m_evicted = 0;
}

} // namespace Samphirepitch::StandIn
