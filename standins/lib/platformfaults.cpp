#include "lib/platformfaults.h"

#include <nlohmann/json.hpp>

namespace Samphirepitch::StandIn
{

namespace
{

using Json = nlohmann::json;

/** Sets the field @p name. @return whether the field exists and the value has its type */
bool setField(PlatformFaults &faults, const std::string &name, const Json &value)
{
    if (name == "outage" && value.is_boolean()) {
        faults.outage = value.get<bool>();
        return true;
    }
    if (!value.is_number_unsigned()) {
        return false;
    }
    const auto number = value.get<std::uint64_t>();
    const std::chrono::milliseconds duration(number);
    if (name == "delay_ms") {
        faults.delay = duration;
    } else if (name == "lose_answers") {
        faults.loseResponses = number;
    } else if (name == "drop_writes") {
        faults.dropWrites = number;
    } else if (name == "watch_delay_ms") {
        faults.watchDelay = duration;
    } else if (name == "instance_lag_ms") {
        faults.instanceLag = duration;
    } else if (name == "writes_per_second") {
        faults.writesPerSecond = number;
    } else if (name == "reads_per_second") {
        faults.readsPerSecond = number;
    } else {
        return false;
    }
    return true;
}

} // namespace

std::string PlatformFaults::toJson() const
{
    return Json {
        { "outage", outage }, { "delay_ms", delay.count() }, { "lose_answers", loseResponses }, { "drop_writes", dropWrites },
        { "watch_delay_ms", watchDelay.count() }, { "instance_lag_ms", instanceLag.count() }, { "writes_per_second", writesPerSecond },
        { "reads_per_second", readsPerSecond }
    }.dump();
}

Result<PlatformFaults> PlatformFaults::withChanges(std::string_view json) const
{
    const Json object = Json::parse(json.begin(), json.end(), nullptr, false);
    if (!object.is_object()) {
        return failure(ErrorKind::Malformed, "faults", "expected a JSON object");
    }
    PlatformFaults changed = *this;
    for (const auto &[name, value] : object.items()) {
        if (!setField(changed, name, value)) {
            return failure(ErrorKind::Malformed, "faults", "unknown field or value of the wrong type: " + name);
        }
    }
    return changed;
}

} // namespace Samphirepitch::StandIn
