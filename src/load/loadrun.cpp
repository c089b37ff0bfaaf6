#include "load/loadrun.h"

#include "core/hash.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/io_context.hpp>

namespace Samphirepitch
{

LoadRun::LoadRun(Scenario scenario, const Clock &clock)
    : m_scenario(std::move(scenario))
    , m_clock(clock)
{
}

Result<void> LoadRun::run()
{
    const Scenario::Fields &fields = m_scenario.values();
    asio::io_context context(1);
    for (const CallerProfile &profile : fields.groups) {
        auto group = CallerGroup::open(context.get_executor(), m_clock, profile, mix64(fields.seed, hash64(profile.name)));
        if (!group) {
            m_groups.clear();
            return tl::unexpected(group.error());
        }
        m_groups.push_back(*std::move(group));
    }
    const TimePoint start = m_clock.now();
    const CallerGroup::Times times { start, start + fields.duration, start + fields.duration + fields.drain };
    for (const auto &group : m_groups) {
        asio::co_spawn(context, group->run(times), asio::detached);
    }
    context.run();
    return {};
}

Report LoadRun::report() const
{
    Report report(m_scenario.values().name, m_scenario.values().seed);
    for (const auto &group : m_groups) {
        report.add(group->statistics());
    }
    return report;
}

} // namespace Samphirepitch
