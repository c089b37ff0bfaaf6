#include "lib/changesignal.h"

#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>

#include <utility>

namespace Samphirepitch::StandIn
{

namespace
{

/** Keeps a timer in the set of waiters during its own lifetime. */
class Registration
{
public:
    Registration(std::shared_ptr<std::set<asio::steady_timer *>> waiters, asio::steady_timer &timer)
        : m_waiters(std::move(waiters))
        , m_timer(timer)
    {
        m_waiters->insert(&m_timer);
    }
    ~Registration()
    {
        m_waiters->erase(&m_timer);
    }
    Registration(const Registration &) = delete;
    Registration &operator=(const Registration &) = delete;

private:
    std::shared_ptr<std::set<asio::steady_timer *>> m_waiters;
    asio::steady_timer &m_timer;
};

} // namespace

ChangeSignal::ChangeSignal()
    : m_waiters(std::make_shared<Waiters>())
{
}

asio::awaitable<bool> ChangeSignal::wait(asio::any_io_executor executor, std::chrono::milliseconds timeout)
{
    asio::steady_timer timer(executor, timeout);
    const Registration registration(m_waiters, timer);
    std::error_code error;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    co_return error == asio::error::operation_aborted;
}

void ChangeSignal::notify()
{
    for (asio::steady_timer *timer : *m_waiters) {
        timer->cancel();
    }
}

asio::awaitable<void> pauseFor(asio::any_io_executor executor, std::chrono::milliseconds duration)
{
    if (duration.count() > 0) {
        asio::steady_timer timer(executor, duration);
        std::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

} // namespace Samphirepitch::StandIn
