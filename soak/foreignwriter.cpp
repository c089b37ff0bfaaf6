#include "soak/foreignwriter.h"

#include <array>
#include <cstdio>

namespace Samphirepitch::Soak
{

ForeignWriter::ForeignWriter(StoreStandin &store, SeededRandom random)
    : m_store(store)
    , m_random(random)
{
}

void ForeignWriter::write(const std::vector<std::string> &serverIds, const std::map<std::string, nlohmann::json> &specs, WallTime now)
{
    const std::uint64_t action = m_random.below(5);
    const std::uint64_t choice = m_random.next();
    if (action == 0 || serverIds.empty()) {
        removeAll();
        return;
    }
    const std::string &id = serverIds[choice % serverIds.size()];
    nlohmann::json spec = specs.at(id);
    const bool isCopy = action <= 2;
    if (!isCopy) {
        spec["state"] = "ready";
        spec["born"] = now.time_since_epoch().count();
    }
    if (action % 2 == 0) {
        spec["service"] = "agent";
    }
    std::array<char, 16> number {};
    std::snprintf(number.data(), number.size(), "%llx", static_cast<unsigned long long>(++m_lastNumber));
    m_names.push_back(isCopy ? "copy-of-" + id : std::string("agent-") + number.data());
    m_store.put("servers", m_names.back(), spec);
}

void ForeignWriter::removeAll()
{
    for (const std::string &name : m_names) {
        m_store.remove("servers", name);
    }
    m_names.clear();
}

} // namespace Samphirepitch::Soak
