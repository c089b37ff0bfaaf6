#pragma once

#include "core/endpoint.h"

#include <csignal>
#include <optional>
#include <string>
#include <sys/types.h>

namespace Samphirepitch::Soak
{

/** A child process that runs samphirepitchd. Signals go only to this process, by its id; the destructor kills it. */
class InstanceProcess
{
public:
    /**
     * @param program path of samphirepitchd
     * @param settings path of its settings file
     * @param log path of the file that its standard output and error are appended to
     */
    InstanceProcess(std::string program, std::string settings, std::string log);
    ~InstanceProcess();
    InstanceProcess(const InstanceProcess &) = delete;
    InstanceProcess &operator=(const InstanceProcess &) = delete;

    /** Starts the process if it is not running. @return false if it could not be started */
    bool start();

    /** Sends the signal @p number if the process is running. */
    void signal(int number);

    /** Collects the exit status. @return if the process has ended since the last call, its exit code, or 128 plus the signal that ended it
     */
    std::optional<int> reap();

    /** Returns whether the process was started and reap() has not reported its end. */
    bool isRunning() const;

private:
    std::string m_program;
    std::string m_settings;
    std::string m_log;
    pid_t m_process = 0;
};

} // namespace Samphirepitch::Soak
