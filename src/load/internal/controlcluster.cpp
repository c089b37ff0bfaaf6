#include "load/internal/controlcluster.h"

#include "model/configtree.h"

#include <algorithm>
#include <ctime>
#include <numeric>

namespace Samphirepitch
{

namespace
{

constexpr std::chrono::seconds timeout { 60 }; // a measurement that takes longer has failed
constexpr std::chrono::milliseconds pollInterval { 5 };
constexpr std::size_t serversPerPool = 12;

/** Makes the pool with the number @p number; its first server is in the state Drain if @p drained is set. */
BackendPool makePool(std::size_t number, bool drained)
{
    BackendPool::Fields pool { "pool" + std::to_string(number), {}, {} };
    for (std::size_t server = 0; server < serversPerPool; ++server) {
        BackendServer::Fields fields;
        fields.name = "server" + std::to_string(server);
        fields.failureDomain = "domain0";
        fields.address = Endpoint(static_cast<std::uint32_t>(0x0a000000 + number * serversPerPool + server), 9000);
        fields.state = drained && server == 0 ? ServerState::Drain : ServerState::Active;
        pool.servers.emplace_back(fields);
    }
    return BackendPool(pool);
}

} // namespace

ControlCluster::ControlCluster(const ControlBench::Settings &settings)
    : m_settings(settings)
    , m_platform(m_io.get_executor(), m_clock)
{
}

ControlCluster::~ControlCluster()
{
    for (const auto &instance : m_instances) {
        instance->plane().stop();
    }
    runUntil(
        [this] { return std::all_of(m_instances.begin(), m_instances.end(), [](const auto &instance) { return instance->hasEnded(); }); });
}

bool ControlCluster::start()
{
    std::vector<Endpoint> seeds;
    std::vector<ListedInstance> listed;
    for (std::size_t number = 0; number < m_settings.instances; ++number) {
        const std::string id = "instance" + std::to_string(number);
        const std::string domain = "domain" + std::to_string(number % m_settings.failureDomains);
        ControlPlaneSettings settings { "bench", id, number + 1, domain, Endpoint(0x7f000001, 0), Endpoint(0x7f000001, 9), seeds };
        auto instance = ControlInstance::start(m_io.get_executor(), m_clock, m_platform, std::move(settings), m_settings.seed + number);
        if (!instance) {
            return false;
        }
        m_instances.push_back(std::move(*instance));
        listed.push_back(m_instances.back()->listed());
        seeds = { m_instances.front()->plane().peerAddress() };
    }
    m_platform.setInstances(listed);
    return publishAndWait(1) && runUntil([this] { return isSettled(); });
}

bool ControlCluster::publishAndWait(std::uint64_t generation)
{
    publish(generation);
    return runUntil([this, generation] {
        return std::all_of(m_instances.begin(), m_instances.end(),
            [generation](const auto &instance) { return instance->activeGeneration() == generation; });
    });
}

void ControlCluster::runFor(std::chrono::milliseconds time)
{
    m_io.run_for(time);
}

ControlCluster::Totals ControlCluster::totals() const
{
    Totals totals;
    for (const auto &instance : m_instances) {
        const LinkCounters &counters = instance->plane().linkCounters();
        totals.sentBytes.push_back(0);
        for (std::size_t type = 0; type < totals.bytes.size(); ++type) {
            totals.bytes[type] += counters.sentBytes[type];
            totals.sentBytes.back() += counters.sentBytes[type];
            totals.messages += counters.sentMessages[type];
        }
    }
    using Call = MemoryPlatform::Call;
    totals.platformReads = m_platform.callCount(Call::Read) + m_platform.callCount(Call::Watch) + m_platform.callCount(Call::Instances);
    totals.platformWrites = m_platform.callCount(Call::Write);
    totals.cpuSeconds = static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
    totals.takenAt = m_clock.now();
    return totals;
}

std::size_t ControlCluster::maxLinks() const
{
    std::size_t maximum = 0;
    for (const auto &instance : m_instances) {
        maximum = std::max(maximum, instance->plane().linkCount());
    }
    return maximum;
}

TimePoint ControlCluster::now() const
{
    return m_clock.now();
}

template<typename Condition>
bool ControlCluster::runUntil(Condition done)
{
    const TimePoint limit = m_clock.now() + timeout;
    while (!done() && m_clock.now() < limit) {
        m_io.restart();
        m_io.run_one_for(pollInterval);
        m_io.poll();
    }
    return done();
}

bool ControlCluster::isSettled() const
{
    return std::all_of(m_instances.begin(), m_instances.end(), [this](const auto &instance) {
        const ControlPlane &plane = instance->plane();
        const auto &members = plane.view()->members();
        return members.size() == m_instances.size() && plane.linkCount() <= plane.plannedLinkCount()
            && std::all_of(members.begin(), members.end(), [](const Member &member) { return member.state() == MemberState::Alive; });
    });
}

void ControlCluster::publish(std::uint64_t generation)
{
    ConfigSet::Fields objects;
    objects.failureDomains.emplace_back(FailureDomain::Fields { "domain0", "region" });
    for (std::size_t number = 0; number < m_settings.pools; ++number) {
        objects.pools.push_back(makePool(number, number == 0 && generation % 2 == 0));
    }
    const ConfigTree tree = ConfigTree::of(ConfigSet(objects));
    for (const auto &[name, content] : tree.parts()) {
        if (!m_platform.object("parts/" + name.toHex())) {
            m_platform.store("parts/" + name.toHex(), content);
        }
    }
    HeadRecord::Fields fields { generation, tree.indexes(), {}, "change" + std::to_string(generation), "bench", m_clock.wallNow() };
    const std::string record = HeadRecord(fields).encode();
    const ContentName name = ContentName::of(record);
    m_platform.store("parts/" + name.toHex(), record);
    m_platform.store("head", HeadPointer { generation, name }.encode());
}

} // namespace Samphirepitch
