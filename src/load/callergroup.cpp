#include "load/callergroup.h"

#include "load/callersocket.h"

#include <asio/redirect_error.hpp>
#include <asio/steady_timer.hpp>
#include <asio/use_awaitable.hpp>

#include <algorithm>

namespace Samphirepitch
{

namespace
{

// Interval of the checks for due repeats and timeouts; below 1% of the usual timeouts.
constexpr std::chrono::milliseconds checkInterval { 5 };

} // namespace

Result<std::unique_ptr<CallerGroup>> CallerGroup::open(
    asio::any_io_executor executor, const Clock &clock, const CallerProfile &profile, std::uint64_t seed)
{
    std::unique_ptr<CallerGroup> group(new CallerGroup(std::move(executor), clock, profile, seed));
    group->m_sockets.resize(profile.flows);
    for (std::size_t index = 0; index < profile.flows; ++index) {
        if (auto opened = group->openFlow(index); !opened) {
            return tl::unexpected(opened.error());
        }
    }
    return group;
}

CallerGroup::CallerGroup(asio::any_io_executor executor, const Clock &clock, const CallerProfile &profile, std::uint64_t seed)
    : m_executor(std::move(executor))
    , m_clock(clock)
    , m_profile(profile)
    , m_tracker(profile, m_statistics)
    , m_random(seed)
{
    m_statistics.name = profile.name;
    // A balancer recognizes repeated request ids for the time of its repeat window. A random first id keeps consecutive runs apart.
    m_nextRequestId = static_cast<std::uint32_t>(m_random.next());
}

CallerGroup::~CallerGroup()
{
    closeFlows();
}

asio::awaitable<void> CallerGroup::run(Times times)
{
    m_arrivals = std::make_unique<ArrivalSchedule>(m_profile, times.start, m_random);
    m_nextFeed = m_profile.feedInterval.count() > 0 ? times.start : TimePoint::max();
    m_nextReplacement = m_profile.flowLifetime.count() > 0 ? times.start : TimePoint::max();
    m_nextCheck = times.start;
    asio::steady_timer timer(m_executor);
    asio::error_code ignored;
    TimePoint now = m_clock.now();
    while (now < times.sendEnd || (m_tracker.pending() > 0 && now < times.drainEnd)) {
        sendRequests(now, times.sendEnd);
        if (now < times.sendEnd) {
            sendFeeds(now);
            replaceDueFlows(now);
        }
        sendRepeatsAndExpire(now);
        timer.expires_after(std::max(TimePoint::duration(0), nextWakeup(now, times) - m_clock.now()));
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        now = m_clock.now();
    }
    m_tracker.expireAll();
    closeFlows();
}

const GroupStatistics &CallerGroup::statistics() const
{
    return m_statistics;
}

Result<void> CallerGroup::openFlow(std::size_t index)
{
    const Endpoint first = Endpoint::parse(m_profile.source + ":1").value_or(Endpoint());
    const auto source = first.address() + static_cast<std::uint32_t>(m_nextFlowNumber % m_profile.sources);
    auto socket = CallerSocket::open(m_executor, m_nextFlowNumber, source,
        [this](std::uint64_t flow, Endpoint from, std::span<const char> datagram) { handleDatagram(flow, from, datagram); });
    if (!socket) {
        return tl::unexpected(socket.error());
    }
    ++m_nextFlowNumber;
    ++m_statistics.flows;
    m_sockets[index] = *std::move(socket);
    return {};
}

void CallerGroup::closeFlows()
{
    for (const auto &socket : m_sockets) {
        if (socket) {
            socket->close();
        }
    }
    m_sockets.clear();
}

void CallerGroup::handleDatagram(std::uint64_t flow, Endpoint from, std::span<const char> datagram)
{
    const TimePoint now = m_clock.now();
    const CallerMessage message = CallerMessage::decode(datagram);
    if (message.response) {
        m_tracker.recordResponse(flow, from, *message.response, now);
    } else if (message.seen) {
        m_tracker.recordSeen(flow, *message.seen);
    } else {
        ++m_statistics.unreadable;
    }
}

void CallerGroup::sendRequests(TimePoint now, TimePoint end)
{
    while (m_arrivals->next() <= now && m_arrivals->next() < end) {
        const TimePoint intendedSendTime = m_arrivals->next();
        const std::size_t index = m_random.below(m_sockets.size());
        const bool straggler = m_random.uniform() < m_profile.stragglerFraction;
        const CallerRequest request { m_nextRequestId++, index, m_sockets[index]->flow(), intendedSendTime, straggler,
            m_arrivals->isPeak(intendedSendTime) };
        m_tracker.recordSent(request);
        sendRequest(request);
        m_arrivals->advance();
    }
}

void CallerGroup::sendRequest(const CallerRequest &request)
{
    const std::string body = RequestTracker::requestBody(request.flow, request.id, m_profile.bodyBytes);
    const std::uint64_t work = request.straggler ? m_profile.stragglerWorkUs : m_profile.workUs;
    if (!m_sockets[request.flowIndex]->send(m_profile.service, encodeRequest(request.id, m_profile.method, work, body))) {
        ++m_statistics.sendErrors;
    }
}

void CallerGroup::sendFeeds(TimePoint now)
{
    // Spreads the notifications of all flows evenly over the interval.
    const std::chrono::nanoseconds step = std::chrono::nanoseconds(m_profile.feedInterval) / m_sockets.size();
    for (; m_nextFeed <= now; m_nextFeed += step) {
        CallerSocket &socket = *m_sockets[m_feedIndex++ % m_sockets.size()];
        ++m_statistics.feeds;
        if (!socket.send(m_profile.service, encodeFeed(std::string(m_profile.feedBytes, 'f')))) {
            ++m_statistics.sendErrors;
        }
    }
}

void CallerGroup::replaceDueFlows(TimePoint now)
{
    const std::chrono::nanoseconds step = std::chrono::nanoseconds(m_profile.flowLifetime) / m_sockets.size();
    for (; m_nextReplacement <= now; m_nextReplacement += step) {
        const std::size_t index = m_random.below(m_sockets.size());
        const std::shared_ptr<CallerSocket> old = m_sockets[index];
        if (m_tracker.hasPendingRequests(old->flow())) {
            continue;
        }
        if (openFlow(index)) {
            m_tracker.removeFlow(old->flow());
            old->close();
        } else {
            ++m_statistics.sendErrors;
        }
    }
}

void CallerGroup::sendRepeatsAndExpire(TimePoint now)
{
    if (now < m_nextCheck) {
        return;
    }
    for (const CallerRequest &request : m_tracker.takeDueRepeats(now)) {
        sendRequest(request);
    }
    m_tracker.expire(now);
    m_nextCheck = now + checkInterval;
}

TimePoint CallerGroup::nextWakeup(TimePoint now, const Times &times) const
{
    if (now >= times.sendEnd) {
        return std::min(m_nextCheck, times.drainEnd);
    }
    return std::min({ m_arrivals->next(), m_nextFeed, m_nextReplacement, m_nextCheck, times.sendEnd });
}

} // namespace Samphirepitch
