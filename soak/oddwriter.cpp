#include "soak/oddwriter.h"

namespace Samphirepitch::Soak
{

namespace
{

constexpr std::size_t deepNesting = 200000; // levels; above what a stack takes

std::string entryWith(const std::string &member)
{
    return R"({"service":"pond","address":"127.0.0.1:9","zone":"d0","version":"v1","slots":2,"state":"ready","cold_remaining_ms":0,"sequence":1,)"
        + member + "}";
}

} // namespace

OddWriter::OddWriter(StoreStandin &store, SeededRandom random)
    : m_store(store)
    , m_random(random)
{
}

std::string OddWriter::write(const std::vector<std::string> &serverIds)
{
    const std::uint64_t action = m_random.below(4);
    const std::uint64_t choice = m_random.next();
    if (action == 0 && !serverIds.empty()) {
        const std::string &id = serverIds[choice % serverIds.size()];
        m_store.putText("servers", id, oddContent());
        return id;
    }
    if (action == 1) {
        for (const std::string &name : m_added) {
            m_store.remove("servers", name);
        }
        m_added.clear();
        return {};
    }
    const std::vector<std::string> names { "i-0", "zzz", "a b&after=i-1", "i-" + std::string(10000, '1') };
    m_added.push_back(names[choice % names.size()]);
    m_store.putText("servers", m_added.back(), oddContent());
    return {};
}

std::string OddWriter::oddContent()
{
    const std::vector<std::string> contents { "1e400", "\"\xff\xfe\"", "null", "[]",
        std::string(deepNesting, '[') + std::string(deepNesting, ']'), entryWith(R"("slots":1e400)"), entryWith(R"("slots":-1)"),
        entryWith(R"("slots":4294967298)"), entryWith(R"("address":"127.0.0.1:65536")"), entryWith(R"("address":"127.0.0.1:0")"),
        entryWith(R"("born":18446744073709551615)"), entryWith(R"("state":"resting")"), entryWith(R"("service":"")"),
        entryWith(R"("zone":7)") };
    return contents[m_random.below(contents.size())];
}

} // namespace Samphirepitch::Soak
