#include "objectstore/internal/socketdeadline.h"

namespace Samphirepitch
{

SocketDeadline::SocketDeadline(asio::ip::tcp::socket &socket, std::chrono::nanoseconds remaining)
    : m_state(std::make_shared<State>())
    , m_timer(socket.get_executor())
{
    m_state->socket = &socket;
    arm(remaining);
}

void SocketDeadline::extend(std::chrono::nanoseconds remaining)
{
    if (!m_state->expired) {
        arm(remaining);
    }
}

void SocketDeadline::arm(std::chrono::nanoseconds remaining)
{
    const std::uint64_t generation = ++m_state->generation;
    m_timer.expires_after(remaining); // cancels the previous wait unless it has already expired
    m_timer.async_wait([state = m_state, generation](const std::error_code &error) {
        if (error || state->socket == nullptr || state->generation != generation) {
            return;
        }
        state->expired = true;
        std::error_code ignored;
        state->socket->close(ignored);
    });
}

SocketDeadline::~SocketDeadline()
{
    m_state->socket = nullptr;
}

bool SocketDeadline::expired() const
{
    return m_state->expired;
}

} // namespace Samphirepitch
