#pragma once

#include "core/endpoint.h"

#include <csignal>
#include <optional>
#include <string>
#include <sys/types.h>

namespace Samphirepitch::Soak
{

/** One samphirepitchd as a process of its own. Only this process is ever signalled, by its id. */
class InstanceProcess
{
public:
    /**
     * @param program path of samphirepitchd
     * @param settings path of its settings file
     * @param log path of the file that gets its output
     */
    InstanceProcess(std::string program, std::string settings, std::string log);
    ~InstanceProcess();
    InstanceProcess(const InstanceProcess &) = delete;
    InstanceProcess &operator=(const InstanceProcess &) = delete;

    /** Starts the process unless it runs. @return false if it could not be started */
    bool start();

    /** Sends a signal if the process runs. */
    void signal(int number);

    /** Takes note of an end. @return the exit code if it ended by itself since the last call, 128 and the signal if by one */
    std::optional<int> reap();

    bool isRunning() const;

private:
    std::string m_program;
    std::string m_settings;
    std::string m_log;
    pid_t m_process = 0;
};

} // namespace Samphirepitch::Soak
