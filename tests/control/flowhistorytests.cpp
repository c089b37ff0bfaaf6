#include "control/flowhistory.h"

#include <catch2/catch.hpp>

using namespace Samphirepitch;

namespace
{

std::string line(const std::string &name, const std::string &second, const std::string &instance, const std::string &fields)
{
    return "event=" + name + " level=warning time=2026-12-04T07:56:" + second + "Z instance=" + instance + " sequence=7 " + fields;
}

std::vector<std::string> namesOf(const FlowHistory &history)
{
    std::vector<std::string> names;
    for (const Event &event : history.events()) {
        names.push_back(event.name);
    }
    return names;
}

} // namespace

TEST_CASE("a log line is parsed back into an event, with any text before it", "[control][flowhistory]")
{
    const auto event = parseLogLine(
        "  10.1021 entry-1 " + line("store_call_failed", "10.173", "entry-1", R"(feed=servers error="store: \"no\" answer" in_a_row=2)"));
    REQUIRE(event.has_value());
    CHECK(event->name == "store_call_failed");
    CHECK(event->severity == EventSeverity::Warning);
    CHECK(event->instance == "entry-1");
    CHECK(event->sequence == 7);
    CHECK(event->at.wallMs == 1796370970173);
    CHECK(event->fields == std::vector<EventField> { { "feed", "servers" }, { "error", "store: \"no\" answer" }, { "in_a_row", "2" } });
}

TEST_CASE("a line of any other program is ignored", "[control][flowhistory]")
{
    for (const auto *text : { "", "hello", "event=", "event=x", "event=x time=yesterday", "event=x time=\"2026" }) {
        CAPTURE(text);
        CHECK_FALSE(parseLogLine(text).has_value());
    }
}

TEST_CASE("the history of a flow has its decisions, the events of its servers and the view events of the instances that decided",
    "[control][flowhistory]")
{
    std::vector<Event> events;
    for (const std::string &text : {
             line("flow_reset", "15.653", "entry-6", "flow=1.2.3.4:5>6.7.8.9:443 reason=server_gone"),
             line("flow_placed", "15.339", "entry-6", "flow=1.2.3.4:5>6.7.8.9:443 server=i-1002"),
             line("server_standing", "15.600", "entry-2", "server=i-1002 standing=gone evidence=connection_refused"),
             line("server_standing", "15.600", "entry-2", "server=i-1003 standing=gone evidence=connection_refused"),
             line("server_standing", "40.000", "entry-2", "server=i-1002 standing=trusted evidence=accepted_and_listed"),
             line("store_call_failed", "14.000", "entry-6", "feed=servers"),
             line("store_call_failed", "14.000", "entry-1", "feed=servers"),
             line("flow_placed", "15.500", "entry-6", "flow=1.2.3.4:6>6.7.8.9:443 server=i-1002"),
         }) {
        events.push_back(parseLogLine(text).value());
    }
    CHECK(namesOf(FlowHistory(events, "1.2.3.4:5>6.7.8.9:443"))
        == std::vector<std::string> { "store_call_failed", "flow_placed", "server_standing", "flow_reset" });
    CHECK(FlowHistory(events, "1.2.3.4:9>6.7.8.9:443").events().empty());
}
