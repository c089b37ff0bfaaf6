#include "lib/backendfaults.h"

#include <nlohmann/json.hpp>

namespace Samphirepitch::StandIn
{

namespace
{

using Json = nlohmann::json;

bool setFlag(BackendFaults &faults, const std::string &name, bool value)
{
    if (name == "freeze") {
        faults.freeze = value;
    } else if (name == "draining") {
        faults.draining = value;
    } else if (name == "health_down") {
        faults.healthDown = value;
    } else {
        return false;
    }
    return true;
}

bool setNumber(BackendFaults &faults, const std::string &name, double value)
{
    if (name == "late_ms") {
        faults.lateDelay = std::chrono::milliseconds(static_cast<std::int64_t>(value));
    } else if (name == "health_lag_ms") {
        faults.healthLag = std::chrono::milliseconds(static_cast<std::int64_t>(value));
    } else if (value > 100) {
        return false;
    } else if (name == "late_percent") {
        faults.latePercent = value;
    } else if (name == "duplicate_percent") {
        faults.duplicatePercent = value;
    } else if (name == "crossed_percent") {
        faults.crossedPercent = value;
    } else if (name == "lost_percent") {
        faults.lostPercent = value;
    } else {
        return false;
    }
    return true;
}

bool setText(BackendFaults &faults, const std::string &name, const std::string &value)
{
    if (name != "health_state" || !(value.empty() || value == "ok" || value == "draining" || value == "overloaded")) {
        return false;
    }
    faults.healthState = value;
    return true;
}

bool setField(BackendFaults &faults, const std::string &name, const Json &value)
{
    if (value.is_boolean()) {
        return setFlag(faults, name, value.get<bool>());
    }
    if (value.is_string()) {
        return setText(faults, name, value.get<std::string>());
    }
    return value.is_number() && value.get<double>() >= 0 && setNumber(faults, name, value.get<double>());
}

} // namespace

std::string BackendFaults::toJson() const
{
    return Json {
        { "freeze", freeze }, { "draining", draining }, { "late_percent", latePercent }, { "late_ms", lateDelay.count() },
        { "duplicate_percent", duplicatePercent }, { "crossed_percent", crossedPercent }, { "lost_percent", lostPercent },
        { "health_state", healthState }, { "health_down", healthDown }, { "health_lag_ms", healthLag.count() }
    }.dump();
}

Result<BackendFaults> BackendFaults::withChanges(std::string_view json) const
{
    const Json object = Json::parse(json.begin(), json.end(), nullptr, false);
    if (!object.is_object()) {
        return failure(ErrorKind::Malformed, "faults", "expected a JSON object");
    }
    BackendFaults changed = *this;
    for (const auto &[name, value] : object.items()) {
        if (!setField(changed, name, value)) {
            return failure(ErrorKind::Malformed, "faults", "unknown field or invalid value: " + name);
        }
    }
    return changed;
}

} // namespace Samphirepitch::StandIn
