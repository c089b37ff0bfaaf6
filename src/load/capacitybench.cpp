#include "load/capacitybench.h"

#include "core/random.h"
#include "load/internal/resourcemeter.h"
#include "load/internal/syntheticconfig.h"
#include "membership/memberview.h"
#include "model/configgeneration.h"
#include "model/configtree.h"
#include "routing/flowtable.h"
#include "routing/router.h"

#include <ostream>
#include <unordered_map>

namespace Samphirepitch
{

namespace
{

constexpr std::uint32_t plannedInstances = 7600;
constexpr std::uint32_t plannedFlows = 300000; // flow limit of one instance; the planned size needs only 37,000
constexpr std::uint32_t divisorStep = 4;

/** Keeps parts in memory, as an instance does. */
class MemoryPartSource : public PartSource
{
public:
    std::shared_ptr<const std::string> part(const ContentName &name) const override
    {
        const auto found = m_parts.find(hash64({ reinterpret_cast<const char *>(name.bytes().data()), ContentName::size }));
        return found != m_parts.end() ? found->second : nullptr;
    }

    /** Adds the parts of @p tree that are missing here. @return the sum of their sizes in bytes */
    std::size_t add(const ConfigTree &tree)
    {
        std::size_t bytes = 0;
        for (const auto &[name, content] : tree.parts()) {
            const std::uint64_t key = hash64({ reinterpret_cast<const char *>(name.bytes().data()), ContentName::size });
            if (m_parts.emplace(key, std::make_shared<const std::string>(content)).second) {
                bytes += content.size();
            }
        }
        return bytes;
    }

private:
    std::unordered_map<std::uint64_t, std::shared_ptr<const std::string>> m_parts;
};

HeadRecord makeHead(const ConfigTree &tree, std::uint64_t generation)
{
    return HeadRecord({ .generation = generation, .indexes = tree.indexes(), .changeId = "bench", .author = "bench" });
}

double milliseconds(std::chrono::nanoseconds time)
{
    return static_cast<double>(time.count()) / 1e6;
}

} // namespace

CapacityBench::CapacityBench(Options options)
    : m_options(options)
{
}

void CapacityBench::run(std::ostream &out) const
{
    std::uint32_t divisor = 1;
    for (std::uint32_t step = 1; step < m_options.steps; ++step) {
        divisor *= divisorStep;
    }
    for (; divisor > 0; divisor /= divisorStep) {
        measureConfiguration(divisor, out);
        measureMembers(divisor, out);
        measureFlows(divisor, out);
    }
}

void CapacityBench::measureConfiguration(std::uint32_t divisor, std::ostream &out) const
{
    ConfigSet set = SyntheticConfig::make(divisor);
    MemoryPartSource parts;
    ConfigTree tree = ConfigTree::of(set);
    const ResourceMeter partMeter;
    const std::size_t partBytes = parts.add(tree);
    const std::size_t partMemory = partMeter.memoryGrowth();

    const ResourceMeter setMeter;
    auto assembled = ConfigTree::assemble(makeHead(tree, 1), parts);
    const auto assembleTime = setMeter.cpuTime();
    const std::size_t setMemory = setMeter.memoryGrowth();

    const TimePoint now {};
    const ResourceMeter routerMeter;
    Router router({ .instance = "bench", .maxFlows = 1 }, nullptr);
    router.configurationChanged({ { 1, {} }, std::make_shared<const ConfigSet>(*assembled) }, now);
    const auto buildTime = routerMeter.cpuTime();
    const std::size_t routerMemory = routerMeter.memoryGrowth() - std::min(routerMeter.memoryGrowth(), setMemory);

    SeededRandom random(m_options.seed);
    HeadRecord head = makeHead(tree, 1);
    ConfigSet current = *assembled;
    std::size_t changeBytes = 0;
    std::chrono::nanoseconds adoptTime { 0 };
    for (std::uint32_t change = 0; change < m_options.changes; ++change) {
        set = SyntheticConfig::withToggledServer(set, random.below(set.pools().size()), random.below(1000));
        const ConfigTree next = ConfigTree::of(set);
        const HeadRecord nextHead = makeHead(next, change + 2);
        changeBytes += parts.add(next) + nextHead.encode().size();
        const ResourceMeter meter;
        current = *ConfigTree::assembleIncrementally(current, head, nextHead, parts);
        head = nextHead;
        router.configurationChanged({ { change + 2, {} }, std::make_shared<const ConfigSet>(current) }, now);
        adoptTime += meter.cpuTime();
    }
    const std::uint32_t changes = std::max(1U, m_options.changes);
    out << "bench: name=capacity-configuration servers=" << SyntheticConfig::servers / divisor
        << " addresses=" << SyntheticConfig::addresses / divisor << " part_bytes=" << partBytes << " part_memory=" << partMemory
        << " set_memory=" << setMemory << " router_memory=" << routerMemory << " assemble_ms=" << milliseconds(assembleTime)
        << " build_ms=" << milliseconds(buildTime) << " change_bytes=" << changeBytes / changes
        << " change_ms=" << milliseconds(adoptTime) / changes << " changes=" << changes << " seed=" << m_options.seed << std::endl;
}

void CapacityBench::measureMembers(std::uint32_t divisor, std::ostream &out) const
{
    const std::uint32_t count = plannedInstances / divisor;
    const ResourceMeter memoryMeter;
    std::vector<Member> members;
    for (std::uint32_t index = 0; index < count; ++index) {
        members.push_back(Member({ .id = "instance-" + std::to_string(index),
            .failureDomain = "domain-" + std::to_string(index % SyntheticConfig::domains),
            .peerAddress = Endpoint(index, 1),
            .dataAddress = Endpoint(index, 2) }));
    }
    const MemberView view(std::move(members));
    const std::size_t memory = memoryMeter.memoryGrowth();
    constexpr std::uint64_t lookups = 1000;
    std::size_t found = 0;
    const ResourceMeter meter;
    for (std::uint64_t key = 0; key < lookups; ++key) {
        found += view.ranked(mix64(m_options.seed, key), 2, "domain-1").size();
    }
    out << "bench: name=capacity-members daemons=" << count << " view_memory=" << memory
        << " owner_us=" << milliseconds(meter.cpuTime()) * 1000 / lookups << " found=" << found << std::endl;
}

void CapacityBench::measureFlows(std::uint32_t divisor, std::ostream &out) const
{
    const std::uint32_t count = plannedFlows / divisor;
    const TimePoint now { std::chrono::seconds(1) };
    const ResourceMeter memoryMeter;
    FlowTable table(count);
    for (std::uint64_t flow = 0; flow < count; ++flow) {
        table.insert(mix64(m_options.seed, flow), static_cast<std::uint32_t>(flow % 20), now);
    }
    const std::size_t memory = memoryMeter.memoryGrowth();
    constexpr std::uint64_t lookups = 1000000;
    SeededRandom random(m_options.seed);
    std::uint64_t sum = 0;
    const ResourceMeter meter;
    for (std::uint64_t lookup = 0; lookup < lookups; ++lookup) {
        sum += table.touch(mix64(m_options.seed, random.below(count)), now).value_or(0);
    }
    out << "bench: name=capacity-flows flows=" << count << " memory=" << memory << " bytes_per_flow=" << static_cast<double>(memory) / count
        << " lookup_ns=" << milliseconds(meter.cpuTime()) * 1e6 / lookups << " checksum=" << sum << std::endl;
}

} // namespace Samphirepitch
