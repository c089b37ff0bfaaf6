#pragma once

#include <asio/any_io_executor.hpp>
#include <asio/signal_set.hpp>

#include <functional>

namespace Samphirepitch
{

/** Turns the signals of the process into calls: SIGTERM and SIGINT stop, SIGHUP reloads. */
class SignalHandler
{
public:
    /**
     * @param stop called for the first SIGTERM or SIGINT
     * @param stopNow called for each further one
     * @param reload called for each SIGHUP
     */
    SignalHandler(
        const asio::any_io_executor &executor, std::function<void()> stop, std::function<void()> stopNow, std::function<void()> reload);

    /** Handles one signal. */
    void handle(int signal);

private:
    void wait();

    asio::signal_set m_signals;
    std::function<void()> m_stop;
    std::function<void()> m_stopNow;
    std::function<void()> m_reload;
    bool m_stopping = false;
};

} // namespace Samphirepitch
