#include "daemon/signalhandler.h"

#include <csignal>

namespace Samphirepitch
{

namespace
{

void setReloadsHeld(bool held)
{
    sigset_t reloads;
    sigemptyset(&reloads);
    sigaddset(&reloads, SIGHUP);
    pthread_sigmask(held ? SIG_BLOCK : SIG_UNBLOCK, &reloads, nullptr);
}

} // namespace

void SignalHandler::holdReloads()
{
    setReloadsHeld(true);
}

SignalHandler::SignalHandler(
    const asio::any_io_executor &executor, std::function<void()> stop, std::function<void()> stopNow, std::function<void()> reload)
    : m_signals(executor, SIGTERM, SIGINT, SIGHUP)
    , m_stop(std::move(stop))
    , m_stopNow(std::move(stopNow))
    , m_reload(std::move(reload))
{
    wait();
    setReloadsHeld(false);
}

void SignalHandler::handle(int signal)
{
    if (signal == SIGHUP) {
        m_reload();
    } else if (m_stopping) {
        m_stopNow();
    } else {
        m_stopping = true;
        m_stop();
    }
}

void SignalHandler::wait()
{
    m_signals.async_wait([this](const asio::error_code &error, int signal) {
        if (!error) {
            handle(signal);
            wait();
        }
    });
}

} // namespace Samphirepitch
