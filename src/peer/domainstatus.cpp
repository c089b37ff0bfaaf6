#include "peer/domainstatus.h"

#include <nlohmann/json.hpp>

#include <array>

namespace Samphirepitch
{

namespace
{

using Json = nlohmann::json;

constexpr std::size_t maxNameSize = 128; // bytes
constexpr int maxDepth = 3; // object, array of instances, instance
constexpr std::array<std::string_view, 4> stateNames { "alive", "suspect", "leaving", "dead" };

bool readText(const Json &object, const char *key, std::string &out)
{
    const auto found = object.find(key);
    if (found == object.end() || !found->is_string() || found->get_ref<const std::string &>().size() > maxNameSize) {
        return false;
    }
    out = found->get<std::string>();
    return true;
}

template<typename Number>
bool readNumber(const Json &object, const char *key, Number &out)
{
    const auto found = object.find(key);
    if (found == object.end() || !found->is_number_unsigned()) {
        return false;
    }
    const auto value = found->get<std::uint64_t>();
    out = static_cast<Number>(value);
    return out == value;
}

bool readState(const Json &object, MemberState &out)
{
    std::string name;
    if (!readText(object, "state", name)) {
        return false;
    }
    for (std::size_t index = 0; index < stateNames.size(); ++index) {
        if (stateNames[index] == name) {
            out = static_cast<MemberState>(index);
            return true;
        }
    }
    return false;
}

bool readInstance(const Json &object, InstanceStatus &out)
{
    return object.is_object() && readText(object, "id", out.id) && readState(object, out.state) && readNumber(object, "held", out.held)
        && readNumber(object, "in_force", out.inForce) && readNumber(object, "last_heard_ms", out.lastHeardMs);
}

bool readStatus(const Json &object, DomainStatus &out)
{
    return object.is_object() && readText(object, "failure_domain", out.failureDomain) && readText(object, "writer", out.writer)
        && readNumber(object, "written_at_ms", out.writtenAtMs) && readNumber(object, "highest_held", out.highestHeld)
        && readNumber(object, "lowest_in_force", out.lowestInForce) && readNumber(object, "reported", out.reported)
        && readNumber(object, "expected", out.expected);
}

/** Parses JSON with a bounded depth, so that deep nesting cannot exhaust the stack or the memory. */
Json parseBounded(std::string_view text)
{
    bool tooDeep = false;
    const auto check = [&tooDeep](int depth, Json::parse_event_t, Json &) {
        tooDeep = tooDeep || depth > maxDepth;
        return !tooDeep;
    };
    Json json = Json::parse(text, check, false);
    return tooDeep ? Json() : json;
}

} // namespace

Result<DomainStatus> DomainStatus::decode(std::string_view json)
{
    if (json.size() > maxEncodedSize) {
        return failure(ErrorKind::TooLarge, "domain status", "the text is above the limit of 512 KB");
    }
    const Json object = parseBounded(json);
    DomainStatus status;
    if (!readStatus(object, status)) {
        return failure(ErrorKind::Malformed, "domain status", "a field is missing or has a wrong type");
    }
    const auto instances = object.find("instances");
    if (instances == object.end() || !instances->is_array()) {
        return failure(ErrorKind::Malformed, "domain status", "instances must be an array");
    }
    if (instances->size() > maxInstances) {
        return failure(ErrorKind::TooLarge, "domain status", "at most 1,024 instances are allowed");
    }
    for (const Json &entry : *instances) {
        InstanceStatus &instance = status.instances.emplace_back();
        if (!readInstance(entry, instance)) {
            return failure(ErrorKind::Malformed, "domain status", "an instance has a missing or wrong field");
        }
    }
    return status;
}

std::string DomainStatus::encode() const
{
    Json list = Json::array();
    for (const InstanceStatus &instance : instances) {
        list.push_back(Json { { "id", instance.id }, { "state", memberStateName(instance.state) }, { "held", instance.held },
            { "in_force", instance.inForce }, { "last_heard_ms", instance.lastHeardMs } });
    }
    const Json object { { "failure_domain", failureDomain }, { "writer", writer }, { "written_at_ms", writtenAtMs },
        { "highest_held", highestHeld }, { "lowest_in_force", lowestInForce }, { "reported", reported }, { "expected", expected },
        { "instances", list } };
    return object.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string_view memberStateName(MemberState state)
{
    return stateNames[static_cast<std::size_t>(state)];
}

} // namespace Samphirepitch
