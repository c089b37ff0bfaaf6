#include "lib/fabricfaults.h"

#include <nlohmann/json.hpp>

namespace Samphirepitch::StandIn
{

namespace
{

constexpr double maxPercent = 100;

} // namespace

std::string FabricFaults::toJson() const
{
    return nlohmann::json {
        { "loss_percent", lossPercent }, { "duplication_percent", duplicationPercent }, { "reordering_percent", reorderingPercent },
        { "reordering_delay_ms", reorderingDelay.count() }
    }.dump();
}

Result<FabricFaults> FabricFaults::withChanges(std::string_view json) const
{
    const auto object = nlohmann::json::parse(json.begin(), json.end(), nullptr, false);
    if (!object.is_object()) {
        return failure(ErrorKind::Malformed, "faults", "expected a JSON object");
    }
    FabricFaults changed = *this;
    for (const auto &[name, value] : object.items()) {
        const double number = value.is_number() ? value.get<double>() : -1;
        if (name == "reordering_delay_ms" && value.is_number_unsigned()) {
            changed.reorderingDelay = std::chrono::milliseconds(value.get<std::uint64_t>());
        } else if (number < 0 || number > maxPercent) {
            return failure(ErrorKind::Malformed, "faults", name + " must be a percentage of 0..100");
        } else if (name == "loss_percent") {
            changed.lossPercent = number;
        } else if (name == "duplication_percent") {
            changed.duplicationPercent = number;
        } else if (name == "reordering_percent") {
            changed.reorderingPercent = number;
        } else {
            return failure(ErrorKind::Malformed, "faults", "unknown field: " + name);
        }
    }
    return changed;
}

} // namespace Samphirepitch::StandIn
