#include "platform/jsontext.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace Samphirepitch;

TEST_CASE("the members and elements of a text are found without decoding it", "[adapter][jsontext]")
{
    const JsonText object(R"( { "a" : [1, "]}", {"b":[]}] , "c\"d":"x\\", "e" : 1e400 ,"f":null} )");
    CHECK(object.member("a") == JsonText(R"([1, "]}", {"b":[]}])"));
    CHECK(object.member("e") == JsonText("1e400"));
    CHECK(object.member("f") == JsonText("null"));
    CHECK_FALSE(object.member("b").has_value());
    const auto elements = object.member("a")->elements();
    REQUIRE(elements.has_value());
    CHECK(*elements == std::vector { JsonText("1"), JsonText(R"("]}")"), JsonText(R"({"b":[]})") });
    CHECK(JsonText(" [ ] ").elements() == std::vector<JsonText>());
}

TEST_CASE("a text of another type or with missing brackets has no members and no elements", "[adapter][jsontext]")
{
    for (const auto *text : { "", " ", "7", "\"text\"", "null", "[", "[1", "[1,", "[1,]", "[,]", "[{]", "[\"", "[\"\\", "{", "{\"a",
             "{\"a\":", "{\"a\":}", "{a:1}", "]", "}" }) {
        CAPTURE(text);
        CHECK_FALSE(JsonText(text).elements().has_value());
        CHECK_FALSE(JsonText(text).member("a").has_value());
    }
    CHECK_FALSE(JsonText().member("a").has_value());
    CHECK_FALSE(JsonText().decode().has_value());
}

TEST_CASE("of several members with one key the last one is returned, and the repetition is reported", "[adapter][jsontext]")
{
    const JsonText object(R"({"a":1,"b":2,"a":3})");
    CHECK(object.member("a") == JsonText("3"));
    CHECK(object.hasDuplicateMembers());
    CHECK_FALSE(JsonText(R"({"a":{"b":1},"b":{"a":1}})").hasDuplicateMembers());
}

TEST_CASE("a value that can't be decoded is an error", "[adapter][jsontext]")
{
    for (const std::string text : { "1e400", "[1e400]", "\"\xff\"", "{\"a\":\"\xc3\"}", "nul", "{\"a\" 1}", "\"\x01\"", "{} {}" }) {
        CAPTURE(text);
        const auto value = JsonText(text).decode();
        REQUIRE_FALSE(value.has_value());
        CHECK(value.error().kind() == ErrorKind::Malformed);
    }
    CHECK(JsonText("\"\xc3\xa9\"").decode().has_value());
}

TEST_CASE("a value with too many levels is refused before it is decoded", "[adapter][jsontext]")
{
    const auto nested = [](std::size_t depth) { return std::string(depth, '[') + std::string(depth, ']'); };
    CHECK(JsonText(nested(JsonText::maxDepth)).decode().has_value());
    for (const std::size_t depth : { JsonText::maxDepth + 1, std::size_t { 200000 } }) {
        const std::string text = nested(depth);
        const auto value = JsonText(text).decode();
        REQUIRE_FALSE(value.has_value());
        CHECK(value.error().kind() == ErrorKind::TooLarge);
    }
}
