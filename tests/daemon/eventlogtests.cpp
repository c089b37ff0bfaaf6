#include "daemon/eventlog.h"
#include "daemon/logger.h"
#include "daemon/logline.h"

#include <catch2/catch.hpp>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <unistd.h>

using namespace Samphirepitch;

namespace
{

class LineCollector : public LogWriter
{
public:
    void write(EventSeverity, const std::string &line) override
    {
        lines.push_back(line);
    }

    std::vector<std::string> lines;
};

} // namespace

TEST_CASE("a value cannot forge a field or a line in the log", "[daemon][logline]")
{
    CHECK(escapeLogValue("127.0.0.1:80") == "127.0.0.1:80");
    CHECK(escapeLogValue("") == "\"\"");
    CHECK(escapeLogValue("a b") == "\"a b\"");
    CHECK(escapeLogValue("x\nevent=y \"q\" \\") == "\"x\\nevent=y \\\"q\\\" \\\\\"");
    CHECK(escapeLogValue(std::string("\x01", 1)) == "\"\\x01\"");
    CHECK(escapeLogValue(std::string(5000, 'a')).size() < 1100);
}

TEST_CASE("a log line starts with the event, the level and the wall time", "[daemon][logline]")
{
    const ManualClock clock;
    CHECK(formatLogLine(EventSeverity::Warning, clock.wallNow(), "peer_lost", { { "peer", "okene-2" } })
        == "event=peer_lost level=warning time=2026-01-01T00:00:00.000Z peer=okene-2");
}

TEST_CASE("the logger writes lines at or above its level", "[daemon][logger]")
{
    std::string path = "/tmp/samphirepitch-log-XXXXXX";
    const int descriptor = mkstemp(path.data());
    REQUIRE(descriptor >= 0);
    close(descriptor);
    auto logger = Logger::open("warning", path);
    REQUIRE(logger.has_value());
    (*logger)->write(EventSeverity::Info, "event=a");
    (*logger)->write(EventSeverity::Error, "event=b");
    REQUIRE((*logger)->setLevel("info"));
    (*logger)->write(EventSeverity::Info, "event=c");
    CHECK_FALSE((*logger)->setLevel("loud"));
    logger->reset();
    std::ifstream stream(path);
    std::string first;
    std::string second;
    std::getline(stream, first);
    std::getline(stream, second);
    CHECK(first == "event=b");
    CHECK(second == "event=c");
    std::remove(path.c_str());
    CHECK_FALSE(Logger::open("info", "/nonexistent/folder/log").has_value());
}

TEST_CASE("the event buffer keeps the newest events and counts the dropped ones", "[daemon][eventlog]")
{
    // Guards against a buffer that grows without bound during a fault.
    ManualClock clock;
    HybridClock hybrid;
    LineCollector lines;
    EventLog log("lokoja-1", clock, hybrid, lines, { .capacity = 3, .rate = 100 });
    for (int index = 0; index < 5; ++index) {
        log.record(EventSeverity::Info, "step", { { "index", std::to_string(index) } });
    }
    CHECK(log.dropped() == 2);
    CHECK(log.lastSequence() == 5);
    const auto kept = log.eventsAfter(0, 10);
    REQUIRE(kept.size() == 3);
    CHECK(kept.front().sequence == 3);
    CHECK(log.eventsAfter(4, 10).size() == 1);
    CHECK(log.eventsAfter(0, 2).size() == 2);
    CHECK(lines.lines.size() == 5);
}

TEST_CASE("the rate of each event name is limited and suppressed events are reported", "[daemon][eventlog]")
{
    ManualClock clock;
    HybridClock hybrid;
    LineCollector lines;
    EventLog log("lokoja-1", clock, hybrid, lines, { .capacity = 100, .rate = 2 });
    for (int index = 0; index < 10; ++index) {
        log.record(EventSeverity::Info, "noisy", {});
    }
    log.record(EventSeverity::Info, "quiet", {});
    CHECK(lines.lines.size() == 3);
    CHECK(log.suppressed() == 8);
    SECTION("by the next event of the same name")
    {
        clock.advance(std::chrono::seconds(1));
        log.record(EventSeverity::Info, "noisy", {});
    }
    SECTION("by the periodic report")
    {
        log.reportSuppressed();
        CHECK(lines.lines.size() == 3);
        clock.advance(std::chrono::seconds(1));
        log.reportSuppressed();
        log.record(EventSeverity::Info, "noisy", {});
    }
    const auto kept = log.eventsAfter(3, 10);
    REQUIRE(kept.size() == 2);
    CHECK(kept[0].name == "events_suppressed");
    CHECK(kept[0].fields == std::vector<EventField> { { "name", "noisy" }, { "count", "8" } });
    CHECK(kept[1].name == "noisy");
}

TEST_CASE("the fields of an event are truncated to fit into a message", "[daemon][eventlog]")
{
    // Guards against one oversized event that prevents an instance from sending its events.
    ManualClock clock;
    HybridClock hybrid;
    LineCollector lines;
    EventLog log("lokoja-1", clock, hybrid, lines, {});
    log.record(EventSeverity::Info, "big", std::vector<EventField>(40, { "text", std::string(9000, 'x') }));
    log.record(EventSeverity::Info, "big", {});
    const auto kept = log.eventsAfter(0, 10);
    REQUIRE(kept.size() == 2);
    CHECK(kept[0].fields.size() == 16);
    CHECK(kept[0].fields[0].value.size() == 256);
    CHECK(kept[0].at.counter < kept[1].at.counter);
}
