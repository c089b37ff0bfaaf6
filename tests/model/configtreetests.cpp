#include "core/random.h"
#include "model/configtree.h"
#include "model/objectcodec.h"
#include "model/partmap.h"
#include "model/sampleset.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace Samphirepitch;
using namespace Samphirepitch::Tests;

namespace
{

PartMap partMapOf(const std::map<ContentName, std::string> &parts)
{
    PartMap map;
    for (const auto &[name, content] : parts) {
        map.add(name, content);
    }
    return map;
}

HeadRecord headRecordOf(const ConfigTree &tree)
{
    return HeadRecord({ .generation = 7,
        .indexes = tree.indexes(),
        .changeId = "c-1",
        .author = "bola",
        .acceptedAt = WallTime(std::chrono::milliseconds(5)) });
}

} // namespace

TEST_CASE("a head record and a head pointer equal their decoded encoding", "[model][headrecord]")
{
    const HeadRecord record = headRecordOf(ConfigTree::of(ConfigSet(sampleFields())));
    CHECK(HeadRecord::decode(record.encode()) == record);
    const HeadPointer pointer { 7, ContentName::of(record.encode()) };
    CHECK(HeadPointer::decode(pointer.encode()) == pointer);
}

TEST_CASE("each truncation and each extension of a head record is refused", "[model][headrecord]")
{
    // Guards against reading past the end of a part received from a peer.
    const std::string bytes = headRecordOf(ConfigTree::of(ConfigSet(sampleFields()))).encode();
    for (std::size_t size = 0; size < bytes.size(); ++size) {
        CHECK_FALSE(HeadRecord::decode(std::string_view(bytes).substr(0, size)).has_value());
    }
    CHECK_FALSE(HeadRecord::decode(bytes + "x").has_value());
}

TEST_CASE("a configuration is assembled from its parts", "[model][configtree]")
{
    const ConfigSet set(sampleFields());
    const ConfigTree tree = ConfigTree::of(set);
    const HeadRecord head = headRecordOf(tree);
    CHECK(ConfigTree::assemble(head, partMapOf(tree.parts())) == set);
    CHECK(ConfigTree::missingParts(head, partMapOf(tree.parts()))->empty());
    CHECK(ConfigTree::referencedParts(head, partMapOf(tree.parts()))->size() == tree.parts().size());
}

TEST_CASE("the parts do not depend on the order of the objects", "[model][configtree]")
{
    // Guards against different part names for equal configurations of two operators.
    ConfigSet::Fields fields = sampleFields();
    const auto parts = ConfigTree::of(ConfigSet(fields)).parts();
    std::reverse(fields.failureDomains.begin(), fields.failureDomains.end());
    CHECK(ConfigTree::of(ConfigSet(fields)).parts() == parts);
}

TEST_CASE("a change of one object creates one leaf and one index part", "[model][configtree]")
{
    // Guards the limit of four writes per change: a leaf, an index, the head record and the head.
    ConfigSet::Fields fields = sampleFields();
    const auto before = ConfigTree::of(ConfigSet(fields)).parts();
    fields.failureDomains[0] = FailureDomain({ "okene", "kwara" });
    const auto after = ConfigTree::of(ConfigSet(fields)).parts();
    const auto added = std::count_if(after.begin(), after.end(), [&before](const auto &part) { return !before.contains(part.first); });
    CHECK(added == 2);
}

TEST_CASE("a part that is not held is listed as missing and prevents assembly", "[model][configtree]")
{
    const ConfigTree tree = ConfigTree::of(ConfigSet(sampleFields()));
    const HeadRecord head = headRecordOf(tree);
    for (const auto &[name, content] : tree.parts()) {
        auto parts = tree.parts();
        parts.erase(name);
        CHECK(ConfigTree::missingParts(head, partMapOf(parts)) == std::vector { name });
        const auto set = ConfigTree::assemble(head, partMapOf(parts));
        REQUIRE_FALSE(set.has_value());
        CHECK(set.error().kind() == ErrorKind::NotFound);
    }
}

TEST_CASE("counts above their limit are refused before memory is allocated", "[model][objectcodec]")
{
    // Guards against malicious parts that claim to hold 4 billion objects, servers or bytes.
    const std::string_view views[] { { "\xdd\xff\xff\xff\xff", 5 }, { "\x91\x94\x01\xa1p\xdd\xff\xff\xff\xff", 10 },
        { "\x91\x93\x00\xdb\xff\xff\xff\xff", 8 } };
    for (const std::string_view view : views) {
        ConfigSet::Fields fields;
        const auto status = ObjectCodec::decodeLeaf(view, fields);
        REQUIRE_FALSE(status.has_value());
        CHECK(status.error().kind() == ErrorKind::TooLarge);
    }
}

TEST_CASE("each truncation of a leaf part is refused", "[model][objectcodec]")
{
    const std::string leaf = "\x91" + ObjectCodec::encode(ConfigSet(sampleFields()).pools()[0]);
    for (std::size_t size = 0; size < leaf.size(); ++size) {
        ConfigSet::Fields fields;
        CHECK_FALSE(ObjectCodec::decodeLeaf(std::string_view(leaf).substr(0, size), fields).has_value());
    }
    ConfigSet::Fields fields;
    CHECK(ObjectCodec::decodeLeaf(leaf, fields).has_value());
}

TEST_CASE("a configuration assembled incrementally from an earlier one equals the fully assembled one", "[model][configtree]")
{
    // Guards against instances with different objects for a generation, depending on whether they applied each change or started later.
    const std::uint64_t seed = GENERATE(range(1, 21));
    CAPTURE(seed);
    SeededRandom random(seed);
    const auto randomFields = [&random] {
        ConfigSet::Fields fields;
        for (int number = 0; number < 60; ++number) {
            const std::string name = "object-" + std::to_string(number);
            if (random.below(3) != 0) {
                fields.failureDomains.push_back(FailureDomain({ name, "region-" + std::to_string(random.below(2)) }));
            }
            if (random.below(3) != 0) {
                fields.policies.push_back(Policy({ .name = name, .queueLimit = static_cast<std::uint32_t>(random.below(3)) }));
            }
        }
        return fields;
    };
    ConfigSet current(randomFields());
    ConfigTree tree = ConfigTree::of(current);
    for (int change = 0; change < 5; ++change) {
        const ConfigSet wanted(randomFields());
        const ConfigTree next = ConfigTree::of(wanted);
        auto parts = tree.parts();
        parts.insert(next.parts().begin(), next.parts().end());
        const auto assembled = ConfigTree::assembleIncrementally(current, headRecordOf(tree), headRecordOf(next), partMapOf(parts));
        REQUIRE(assembled == wanted);
        current = *assembled;
        tree = next;
    }
}
