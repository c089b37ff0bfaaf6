#include "soak/instanceprocess.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <utility>

namespace Samphirepitch::Soak
{

namespace
{

constexpr int logMode = 0644;
constexpr int signalExitBase = 128; // exit codes of processes ended by a signal, as in shells

} // namespace

InstanceProcess::InstanceProcess(std::string program, std::string settings, std::string log)
    : m_program(std::move(program))
    , m_settings(std::move(settings))
    , m_log(std::move(log))
{
}

InstanceProcess::~InstanceProcess()
{
    if (m_process != 0) {
        kill(m_process, SIGKILL);
        waitpid(m_process, nullptr, 0);
    }
}

bool InstanceProcess::start()
{
    if (m_process != 0) {
        return true;
    }
    posix_spawn_file_actions_t actions {};
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 1, m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, logMode);
    posix_spawn_file_actions_adddup2(&actions, 1, 2);
    // Keeps the instance from inheriting the sockets of this process.
    posix_spawn_file_actions_addclosefrom_np(&actions, 3);
    std::string flag = "--settings";
    char *const arguments[] = { m_program.data(), flag.data(), m_settings.data(), nullptr };
    const int failed = posix_spawn(&m_process, m_program.c_str(), &actions, nullptr, arguments, environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failed != 0) {
        m_process = 0;
    }
    return failed == 0;
}

void InstanceProcess::signal(int number)
{
    if (m_process != 0) {
        kill(m_process, number);
    }
}

std::optional<int> InstanceProcess::reap()
{
    int status = 0;
    if (m_process == 0 || waitpid(m_process, &status, WNOHANG) != m_process) {
        return std::nullopt;
    }
    m_process = 0;
    return WIFSIGNALED(status) ? signalExitBase + WTERMSIG(status) : WEXITSTATUS(status);
}

bool InstanceProcess::isRunning() const
{
    return m_process != 0;
}

} // namespace Samphirepitch::Soak
