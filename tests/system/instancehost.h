#pragma once

#include "daemon/datagraminstance.h"

#include <asio/io_context.hpp>

#include <memory>

namespace Samphirepitch::Testing
{

/** An instance with its own io_context, so that a test can end it without a graceful stop, as if its process were killed. */
class InstanceHost
{
public:
    /** Creates and starts the instance; fails the test if it cannot be created. */
    InstanceHost(const Clock &clock, const Settings &settings);

    /** Destroys all tasks without a graceful stop, then closes the sockets; nothing more is sent. */
    ~InstanceHost();

    InstanceHost(const InstanceHost &) = delete;
    InstanceHost &operator=(const InstanceHost &) = delete;

    /** Runs all handlers that are ready. @return the number of handlers that ran */
    std::size_t poll();

    const DatagramInstance &instance() const;

private:
    /** An io_context that can destroy its tasks while the sockets that they use still exist. */
    class Context : public asio::io_context
    {
    public:
        void abandonTasks();
    };

    Context m_context;
    std::unique_ptr<DatagramInstance> m_instance;
};

} // namespace Samphirepitch::Testing
