#include "stream/routerfixture.h"

#include <algorithm>

namespace Samphirepitch::Tests
{

void EventCollector::record(EventSeverity, std::string_view name, std::vector<EventField> fields)
{
    std::string text;
    for (const EventField &field : fields) {
        text += (text.empty() ? "" : " ") + field.key + '=' + field.value;
    }
    m_recorded.push_back({ std::string(name), std::move(text) });
}

std::size_t EventCollector::count(std::string_view name) const
{
    return static_cast<std::size_t>(
        std::count_if(m_recorded.begin(), m_recorded.end(), [name](const Recorded &seen) { return seen.name == name; }));
}

std::string EventCollector::last(std::string_view name) const
{
    const auto found = std::find_if(m_recorded.rbegin(), m_recorded.rend(), [name](const Recorded &seen) { return seen.name == name; });
    return found == m_recorded.rend() ? std::string() : found->text;
}

RouterFixture::RouterFixture()
    : router({ clock, random, events, selector, times }, "a", 1000)
{
}

StreamServer RouterFixture::server(std::uint64_t number, std::string failureDomain)
{
    constexpr std::uint32_t firstAddress = 0x0a010000;
    std::string digits;
    for (std::uint64_t rest = number; rest > 0; rest /= 16) {
        digits.insert(digits.begin(), "0123456789abcdef"[rest % 16]);
    }
    return { .id = "i-" + digits,
        .number = number,
        .service = "pond",
        .address = Endpoint(firstAddress + static_cast<std::uint32_t>(number), 8080),
        .failureDomain = std::move(failureDomain),
        .slots = 2,
        .startedAt = 1000,
        .position = { 0, 5 } };
}

StreamConfiguration RouterFixture::configuration(std::uint64_t revision)
{
    StreamConfiguration configuration { .version = revision * 3, .position = { 0, revision } };
    configuration.routes.emplace(service, StreamRoute { "r-1", service, { { "pond", 1 } } });
    configuration.idleTimeout = std::chrono::seconds(15);
    return configuration;
}

StreamConfiguration RouterFixture::configurationWith(std::uint64_t revision, const std::string &target)
{
    StreamConfiguration extended = configuration(revision);
    extended.routes.emplace(unsafeService, StreamRoute { "r-2", unsafeService, { { target, 1 } } });
    return extended;
}

void RouterFixture::makeReady(const std::vector<StreamServer> &servers)
{
    router.applyConfiguration(configuration(4));
    router.replaceServers(servers, {}, { 0, 10 }, clock.now());
}

StreamDecision RouterFixture::open(Endpoint from, std::uint32_t copy, std::uint32_t sequence)
{
    return router.route({ .client = from, .service = service, .opens = true, .sequence = sequence, .acknowledgement = copy });
}

StreamDecision RouterFixture::finish(std::uint32_t token, std::uint32_t sequence, std::uint32_t acknowledgement, Endpoint from)
{
    return router.route(
        { .client = from, .service = service, .token = token, .finishes = true, .sequence = sequence, .acknowledgement = acknowledgement });
}

StreamDecision RouterFixture::send(
    std::uint32_t token, std::uint32_t sequence, std::uint16_t length, std::uint32_t acknowledgement, Endpoint from)
{
    return router.route(
        { .client = from, .service = service, .token = token, .length = length, .sequence = sequence, .acknowledgement = acknowledgement });
}

void RouterFixture::finishProbe(std::uint32_t token, ConnectResult result)
{
    advanceClock(std::chrono::milliseconds(1));
    router.recordProbeResult(token, result, clock.now());
}

void RouterFixture::timeOutProbe(std::uint32_t token, std::uint32_t answeringToken)
{
    finishProbe(answeringToken, ConnectResult::Accepted);
    router.recordProbeResult(token, ConnectResult::Unanswered, clock.now());
}

void RouterFixture::advanceClock(std::chrono::milliseconds time)
{
    clock.advance(time);
}

} // namespace Samphirepitch::Tests
