#include "system/instancehost.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <catch2/catch.hpp>

namespace Samphirepitch::Testing
{

InstanceHost::InstanceHost(const Clock &clock, const Settings &settings)
{
    auto created = DatagramInstance::create(m_context.get_executor(), clock, settings);
    INFO((created ? std::string() : created.error().describe()));
    REQUIRE(created.has_value());
    m_instance = *std::move(created);
    asio::co_spawn(m_context, m_instance->run(), asio::detached);
}

InstanceHost::~InstanceHost()
{
    m_context.abandonTasks();
    m_instance.reset();
}

std::size_t InstanceHost::poll()
{
    return m_context.poll();
}

const DatagramInstance &InstanceHost::instance() const
{
    return *m_instance;
}

void InstanceHost::Context::abandonTasks()
{
    shutdown();
}

} // namespace Samphirepitch::Testing
