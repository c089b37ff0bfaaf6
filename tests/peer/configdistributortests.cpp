#include "core/eventsink.h"
#include "fakes/recordingchannel.h"
#include "model/configtree.h"
#include "peer/configdistributor.h"

#include <catch2/catch.hpp>

#include <map>
#include <set>

using namespace Samphirepitch;
using namespace std::chrono_literals;

namespace
{

class EventCounter : public EventSink
{
public:
    void record(EventSeverity, std::string_view name, std::vector<EventField>) override
    {
        ++counts[std::string(name)];
    }

    std::map<std::string, int> counts;
};

/** A generation: its head and all its parts. */
struct Generation {
    explicit Generation(std::uint64_t number, const std::string &region = "kogi")
    {
        ConfigSet::Fields objects;
        objects.failureDomains.emplace_back(FailureDomain::Fields { "lokoja", region });
        const ConfigTree tree = ConfigTree::of(ConfigSet(objects));
        parts = tree.parts();
        const std::string record = HeadRecord({ number, tree.indexes(), {}, "change", "operator", {} }).encode();
        head = { number, ContentName::of(record) };
        parts.emplace(head.record, record);
    }

    std::map<ContentName, std::string> parts;
    HeadPointer head;
};

struct Fixture {
    ConfigStore store;
    RecordingChannel channel;
    EventCounter events;
    ConfigDistributor distributor { store, channel, events, {} };
    TimePoint now {};

    /** Replies to part requests on behalf of @p peer until no further request is sent to it. */
    void serve(const std::string &peer, const Generation &generation)
    {
        while (!channel.sent.empty() && channel.sent.back().first == peer) {
            const auto request = std::get<PartRequest>(channel.sent.back().second);
            channel.sent.clear();
            for (const ContentName &name : request.names) {
                const auto found = generation.parts.find(name);
                distributor.partReceived(peer, { name, found == generation.parts.end() ? "" : found->second }, now);
            }
        }
    }
};

} // namespace

TEST_CASE("an announced generation is pulled part by part, adopted and announced", "[peer][distributor]")
{
    Fixture fixture;
    const Generation one(1);
    std::set<std::string> lagging { "b", "c", "d", "e", "f" };
    for (const std::string &peer : lagging) {
        fixture.distributor.linkUp(peer);
    }
    fixture.distributor.announced("b", one.head, fixture.now);
    fixture.serve("b", one);
    CHECK(fixture.distributor.held() == one.head);
    // Guards against a single instance that sends the parts to all its peers, and against peers that never get an announcement.
    REQUIRE(fixture.channel.sent.size() == ConfigDistributor::firstAnnouncements);
    for (const auto &[peer, message] : fixture.channel.sent) {
        CHECK(message == Message(Announce { one.head }));
        CHECK(lagging.erase(peer) == 1);
    }
    fixture.channel.sent.clear();
    for (const std::string &peer : lagging) {
        fixture.distributor.peerHolds(peer, 0);
        REQUIRE_FALSE(fixture.channel.sent.empty());
        CHECK(fixture.channel.sent.back() == std::pair<std::string, Message>(peer, Announce { one.head }));
    }
    SECTION("a lower or equal generation is not pulled, and an equal one with another record is reported")
    {
        fixture.channel.sent.clear();
        fixture.distributor.announced("b", one.head, fixture.now);
        fixture.distributor.announced("b", Generation(1, "other").head, fixture.now);
        CHECK(fixture.channel.sent.empty());
        CHECK(fixture.events.counts["generation_conflict"] == 1);
    }
    SECTION("parts that the next generation does not refer to are removed")
    {
        const Generation two(2, "other");
        fixture.distributor.announced("b", two.head, fixture.now);
        fixture.serve("b", two);
        CHECK(fixture.distributor.held() == two.head);
        CHECK(fixture.store.part(one.head.record) == nullptr);
        std::size_t bytes = 0;
        for (const auto &[name, content] : two.parts) {
            bytes += content.size();
        }
        CHECK(fixture.store.bytes() == bytes);
    }
}

TEST_CASE("a pull continues from another peer", "[peer][distributor]")
{
    Fixture fixture;
    const Generation one(1);
    fixture.distributor.announced("b", one.head, fixture.now);
    fixture.distributor.announced("c", one.head, fixture.now);
    SECTION("when the first peer does not reply by the deadline")
    {
        fixture.distributor.advance(fixture.now + ConfigDistributor::pullTimeout);
    }
    SECTION("when the link to the first peer ends")
    {
        fixture.distributor.linkDown("b", fixture.now);
    }
    SECTION("when the first peer does not hold the part")
    {
        fixture.distributor.partReceived("b", { one.head.record, "" }, fixture.now);
    }
    SECTION("when the first peer sends content that does not match the name")
    {
        fixture.distributor.partReceived("b", { one.head.record, "forged" }, fixture.now);
        CHECK(fixture.distributor.refusedParts() == 1);
        CHECK(fixture.store.bytes() == 0);
    }
    fixture.serve("c", one);
    CHECK(fixture.distributor.held() == one.head);
}

TEST_CASE("parts that were not requested take no memory", "[peer][distributor]")
{
    Fixture fixture;
    fixture.distributor.partReceived("b", { ContentName::of("x"), "x" }, fixture.now);
    CHECK(fixture.store.bytes() == 0);
    CHECK(fixture.distributor.refusedParts() == 1);
}

TEST_CASE("a head record of another generation than announced is rejected and not requested again", "[peer][distributor]")
{
    Fixture fixture;
    const Generation one(1);
    const HeadPointer wrong { 9, one.head.record };
    fixture.distributor.announced("b", wrong, fixture.now);
    fixture.serve("b", one);
    CHECK(fixture.distributor.held().generation == 0);
    CHECK(fixture.events.counts["generation_rejected"] == 1);
    fixture.distributor.announced("b", wrong, fixture.now);
    CHECK(fixture.channel.sent.empty());
}

TEST_CASE("a full store refuses parts", "[peer][configstore]")
{
    ConfigStore store(4);
    CHECK(store.put(ContentName::of("abcd"), "abcd").has_value());
    CHECK(store.put(ContentName::of("e"), "e").error().kind() == ErrorKind::TooLarge);
    CHECK(store.put(ContentName::of("e"), "f").error().kind() == ErrorKind::Malformed);
    store.retain({});
    CHECK(store.bytes() == 0);
}
