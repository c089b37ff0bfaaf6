#pragma once

#include "daemon/datagraminstance.h"

#include <asio/io_context.hpp>

#include <memory>

namespace Samphirepitch::Testing
{

/** An instance with an io_context of its own, so that a test can end it as abruptly as a killed process. */
class InstanceHost
{
public:
    /** Starts the instance; fails the test if it cannot be created. */
    InstanceHost(const Clock &clock, const Settings &settings);

    /** Ends all tasks where they are, then closes the sockets; nothing is sent to anyone. */
    ~InstanceHost();

    InstanceHost(const InstanceHost &) = delete;
    InstanceHost &operator=(const InstanceHost &) = delete;

    /** Runs what is ready. @return the number of handlers that ran */
    std::size_t poll();

    const DatagramInstance &instance() const;

private:
    /** An io_context that can destroy its waiting tasks while the sockets they use still exist. */
    class Context : public asio::io_context
    {
    public:
        void abandonTasks();
    };

    Context m_context;
    std::unique_ptr<DatagramInstance> m_instance;
};

} // namespace Samphirepitch::Testing
