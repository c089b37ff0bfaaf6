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

// Repeats and timeouts are checked at this interval, which is below 1% of the usual timeouts.
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
    , m_ledger(profile, m_figures)
    , m_random(seed)
{
    m_figures.name = profile.name;
    // Runs that follow each other must not use the same ids within a repeat window.
    m_nextId = static_cast<std::uint32_t>(m_random.next());
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
    while (now < times.sendEnd || (m_ledger.pending() > 0 && now < times.drainEnd)) {
        sendRequests(now, times.sendEnd);
        if (now < times.sendEnd) {
            sendFeeds(now);
            replaceFlow(now);
        }
        repeatAndExpire(now);
        timer.expires_after(std::max(TimePoint::duration(0), nextWake(now, times) - m_clock.now()));
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        now = m_clock.now();
    }
    m_ledger.expireAll();
    closeFlows();
}

const GroupFigures &CallerGroup::figures() const
{
    return m_figures;
}

Result<void> CallerGroup::openFlow(std::size_t index)
{
    const Endpoint first = Endpoint::parse(m_profile.source + ":1").value_or(Endpoint());
    const auto source = first.address() + static_cast<std::uint32_t>(m_nextFlow % m_profile.sources);
    auto socket = CallerSocket::open(m_executor, m_nextFlow, source,
        [this](std::uint64_t flow, Endpoint from, std::span<const char> datagram) { received(flow, from, datagram); });
    if (!socket) {
        return tl::unexpected(socket.error());
    }
    ++m_nextFlow;
    ++m_figures.flows;
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

void CallerGroup::received(std::uint64_t flow, Endpoint from, std::span<const char> datagram)
{
    const TimePoint now = m_clock.now();
    const CallerMessage message = CallerMessage::decode(datagram);
    if (message.answer) {
        m_ledger.answered(flow, from, *message.answer, now);
    } else if (message.seen) {
        m_ledger.seen(flow, *message.seen);
    } else {
        ++m_figures.unreadable;
    }
}

void CallerGroup::sendRequests(TimePoint now, TimePoint end)
{
    while (m_arrivals->next() <= now && m_arrivals->next() < end) {
        const TimePoint intended = m_arrivals->next();
        const std::size_t index = m_random.below(m_sockets.size());
        const bool straggler = m_random.uniform() < m_profile.stragglerFraction;
        const CallerRequest request { m_nextId++, index, m_sockets[index]->flow(), intended, straggler, m_arrivals->isPeak(intended) };
        m_ledger.sent(request);
        sendRequest(request);
        m_arrivals->advance();
    }
}

void CallerGroup::sendRequest(const CallerRequest &request)
{
    const std::string body = CallerLedger::requestBody(request.flow, request.id, m_profile.bodyBytes);
    const std::uint64_t work = request.straggler ? m_profile.stragglerWorkUs : m_profile.workUs;
    if (!m_sockets[request.slot]->send(m_profile.service, encodeRequest(request.id, m_profile.method, work, body))) {
        ++m_figures.sendErrors;
    }
}

void CallerGroup::sendFeeds(TimePoint now)
{
    // The feeds of the flows are spread evenly over the interval.
    const std::chrono::nanoseconds step = std::chrono::nanoseconds(m_profile.feedInterval) / m_sockets.size();
    for (; m_nextFeed <= now; m_nextFeed += step) {
        CallerSocket &socket = *m_sockets[m_feedIndex++ % m_sockets.size()];
        ++m_figures.feeds;
        if (!socket.send(m_profile.service, encodeFeed(std::string(m_profile.feedBytes, 'f')))) {
            ++m_figures.sendErrors;
        }
    }
}

void CallerGroup::replaceFlow(TimePoint now)
{
    const std::chrono::nanoseconds step = std::chrono::nanoseconds(m_profile.flowLifetime) / m_sockets.size();
    for (; m_nextReplacement <= now; m_nextReplacement += step) {
        const std::size_t index = m_random.below(m_sockets.size());
        const std::shared_ptr<CallerSocket> old = m_sockets[index];
        if (m_ledger.isBusy(old->flow())) {
            continue;
        }
        if (openFlow(index)) {
            m_ledger.forgetFlow(old->flow());
            old->close();
        } else {
            ++m_figures.sendErrors;
        }
    }
}

void CallerGroup::repeatAndExpire(TimePoint now)
{
    if (now < m_nextCheck) {
        return;
    }
    for (const CallerRequest &request : m_ledger.takeRepeats(now)) {
        sendRequest(request);
    }
    m_ledger.expire(now);
    m_nextCheck = now + checkInterval;
}

TimePoint CallerGroup::nextWake(TimePoint now, const Times &times) const
{
    if (now >= times.sendEnd) {
        return std::min(m_nextCheck, times.drainEnd);
    }
    return std::min({ m_arrivals->next(), m_nextFeed, m_nextReplacement, m_nextCheck, times.sendEnd });
}

} // namespace Samphirepitch
