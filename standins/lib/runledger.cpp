#include "lib/runledger.h"

#include "core/hash.h"

#include <nlohmann/json.hpp>

namespace Samphirepitch::StandIn
{

namespace
{

std::uint64_t packed(Endpoint endpoint)
{
    return static_cast<std::uint64_t>(endpoint.address()) << 16 | endpoint.port();
}

} // namespace

RunLedger::RunLedger(std::size_t limit)
    : m_limit(limit)
{
}

std::size_t RunLedger::Hash::operator()(const Key &key) const
{
    return mix64(mix64(packed(key.service), packed(key.caller)), key.id);
}

std::uint32_t RunLedger::Entry::runs() const
{
    std::uint32_t sum = 0;
    for (const auto &[server, count] : runsOfServer) {
        sum += count;
    }
    return sum;
}

std::uint32_t RunLedger::record(const Key &key, const std::string &method, const std::string &server)
{
    const auto [entry, added] = m_entries.try_emplace(key);
    if (added) {
        entry->second.method = method;
        m_order.push_back(key);
    }
    ++m_runs;
    const std::uint32_t count = ++entry->second.runsOfServer[server];
    if (m_order.size() > m_limit) {
        m_entries.erase(m_order.front());
        m_order.pop_front();
        ++m_forgotten;
    }
    return count;
}

std::uint32_t RunLedger::runs(const Key &key) const
{
    const auto entry = m_entries.find(key);
    return entry == m_entries.end() ? 0 : entry->second.runs();
}

std::string RunLedger::toJson(bool repeatedOnly, std::size_t count) const
{
    nlohmann::json list = nlohmann::json::array();
    std::uint64_t repeated = 0;
    for (auto key = m_order.rbegin(); key != m_order.rend(); ++key) {
        const Entry &entry = m_entries.at(*key);
        const std::uint32_t runs = entry.runs();
        repeated += runs > 1 ? 1 : 0;
        if (list.size() < count && (runs > 1 || !repeatedOnly)) {
            list.push_back({ { "service", key->service.toString() }, { "caller", key->caller.toString() }, { "id", key->id },
                { "method", entry.method }, { "runs", runs }, { "servers", entry.runsOfServer } });
        }
    }
    return nlohmann::json {
        { "requests", m_entries.size() }, { "runs", m_runs }, { "repeated", repeated }, { "forgotten", m_forgotten }, { "entries", list }
    }.dump();
}

void RunLedger::clear()
{
    m_entries.clear();
    m_order.clear();
    m_runs = 0;
    m_forgotten = 0;
}

} // namespace Samphirepitch::StandIn
