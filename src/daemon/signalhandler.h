#pragma once

#include <asio/any_io_executor.hpp>
#include <asio/signal_set.hpp>

#include <functional>

namespace Samphirepitch
{

/** Calls functions on signals: SIGTERM and SIGINT stop the process, SIGHUP reloads the settings. */
class SignalHandler
{
public:
    /**
     * Holds back SIGHUP, whose default action ends the process, until a SignalHandler exists. A signal that arrives meanwhile is delivered
     * then. Must be called before the process starts threads.
     */
    static void holdReloads();

    /**
     * Handles the signals from now on, also those that holdReloads() has held back.
     * @param executor waits for the signals and runs the functions
     * @param stop called on the first SIGTERM or SIGINT
     * @param stopNow called on each further SIGTERM or SIGINT
     * @param reload called on each SIGHUP
     */
    SignalHandler(
        const asio::any_io_executor &executor, std::function<void()> stop, std::function<void()> stopNow, std::function<void()> reload);

    /** Calls the function for @p signal. */
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
