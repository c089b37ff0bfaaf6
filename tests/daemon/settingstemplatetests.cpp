#include "daemon/settings.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <fstream>
#include <sstream>

using namespace Samphirepitch;

using Json = nlohmann::json;

namespace
{

std::string readTemplate()
{
    std::ifstream file("deploy/settings.toml");
    REQUIRE(file.is_open());
    std::stringstream content;
    content << file.rdbuf();
    return content.str();
}

/** Returns the fields that the platform fills in, as an instance of a deployment without evacuations gets them. */
Json machineFields()
{
    return { { "node", "frontend-lokoja-1" }, { "zone", "lokoja" }, { "ip", "10.1.0.10" },
        { "listen", { { "datagram_address", "10.1.0.10:8172" }, { "ready", "10.1.0.10:8167" }, { "control_plane", "10.1.0.10:8166" } } },
        { "seeds", { "10.1.0.10:8166", "10.2.0.40:8166", "10.3.0.7:8166" } }, { "bounds", { { "drain_ms", 3000 } } },
        { "platform", { { "address", "10.200.1.7:8169" } } } };
}

/** Returns the field with a path such as "listen.ready", or null if there is none. */
Json fieldOf(const Json &fields, const std::string &path)
{
    Json field = fields;
    std::stringstream names(path);
    for (std::string name; std::getline(names, name, '.');) {
        field = field.is_object() && field.contains(name) ? field[name] : Json();
    }
    return field;
}

/** Renders each section once if its field has a value, and otherwise not at all. */
std::string renderSections(std::string text, const Json &fields)
{
    for (std::size_t begin = text.find("{{#"); begin != std::string::npos; begin = text.find("{{#")) {
        const std::size_t nameEnd = text.find("}}", begin);
        const std::string name = text.substr(begin + 3, nameEnd - begin - 3);
        const std::string endMark = "{{/" + name + "}}";
        const std::size_t end = text.find(endMark, nameEnd);
        REQUIRE(end != std::string::npos);
        const std::string content = text.substr(nameEnd + 2, end - nameEnd - 2);
        text.replace(begin, end + endMark.size() - begin, fieldOf(fields, name).is_null() ? std::string() : content);
    }
    return text;
}

/** Replaces each placeholder by the value of its field: as JSON if it ends in "|json", otherwise as plain text. Leaves sections alone. */
std::string renderValues(std::string text, const Json &fields)
{
    const std::string filter = "|json";
    for (std::size_t begin = text.find("{{"); begin != std::string::npos; begin = text.find("{{", begin)) {
        const std::size_t end = text.find("}}", begin);
        REQUIRE(end != std::string::npos);
        if (text[begin + 2] == '#' || text[begin + 2] == '/') {
            begin = end;
            continue;
        }
        std::string name = text.substr(begin + 2, end - begin - 2);
        const bool asJson = name.ends_with(filter);
        name.resize(name.size() - (asJson ? filter.size() : 0));
        const Json field = fieldOf(fields, name);
        const std::string value = field.is_null() ? "" : !asJson && field.is_string() ? field.get<std::string>() : field.dump();
        text.replace(begin, end + 2 - begin, value);
        begin += value.size();
    }
    return text;
}

} // namespace

TEST_CASE("the template of the settings is valid with and without its optional section", "[daemon][settings]")
{
    // Guards against instances that don't start, on deployments that have a bound for evacuations or on those that have none.
    Json fields = machineFields();
    const bool hasEvacuations = GENERATE(false, true);
    CAPTURE(hasEvacuations);
    if (hasEvacuations) {
        fields["bounds"]["evacuation_ms"] = 5000;
    }
    const std::string text = renderValues(renderSections(readTemplate(), fields), fields);
    CAPTURE(text);
    const auto settings = Settings::parse(text, "settings.toml");
    REQUIRE(settings.has_value());
    CHECK(settings->values().instanceId == "frontend-lokoja-1");
    CHECK(settings->values().failureDomain == "lokoja");
    CHECK(settings->values().dataPacketFormat == "stream");
    CHECK(settings->values().platformAddress.toString() == "10.200.1.7:8169");
    CHECK(settings->values().evacuationsEnabled == hasEvacuations);
    CHECK(settings->values().exchangesLoadReports == hasEvacuations);
}

TEST_CASE("the template of the settings is valid where its sections are not evaluated", "[daemon][settings]")
{
    // Guards against tools that replace the values only, such as the stand-ins of a review, and can't start an instance.
    const std::string text = renderValues(readTemplate(), machineFields());
    CAPTURE(text);
    REQUIRE(text.find("{{#") != std::string::npos);
    CHECK(Settings::parse(text, "settings.toml").has_value());
}
