#pragma once

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <memory>

namespace Samphirepitch
{

/** Closes a socket at a deadline, which aborts its pending operations. The destructor cancels the deadline. */
class SocketDeadline
{
public:
    /**
     * @param socket must outlive this object
     * @param remaining time until the deadline
     */
    SocketDeadline(asio::ip::tcp::socket &socket, std::chrono::nanoseconds remaining);
    ~SocketDeadline();
    SocketDeadline(const SocketDeadline &) = delete;
    SocketDeadline &operator=(const SocketDeadline &) = delete;

    /** Replaces the deadline. @param remaining time until the new deadline */
    void extend(std::chrono::nanoseconds remaining);

    /** Returns whether the deadline passed and closed the socket. */
    bool expired() const;

private:
    struct State {
        asio::ip::tcp::socket *socket = nullptr;
        bool expired = false;
        std::uint64_t generation = 0; // of the deadline in force; a handler that was queued for a replaced one does nothing
    };

    void arm(std::chrono::nanoseconds remaining);

    // Shared with the timer handler, which may already be queued when this object is destroyed.
    std::shared_ptr<State> m_state;
    asio::steady_timer m_timer;
};

} // namespace Samphirepitch
