#pragma once

#include "core/endpoint.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Samphirepitch
{

/** Checked value of a key of a TOML file. The alternatives must be in the order of KeyKind. */
using KeyValue = std::variant<std::string, std::uint64_t, double, bool, std::chrono::milliseconds, Endpoint, std::vector<Endpoint>>;

/** Type of the value of a key. */
enum class KeyKind {
    Text,
    Integer,
    Number,
    Flag,
    Milliseconds,
    Address, /**< "a.b.c.d:port" */
    AddressList,
};

/** Returns the name of the type for the reference page. */
std::string_view keyKindName(KeyKind kind);

/** Returns @p value in TOML syntax. */
std::string formatKeyValue(const KeyValue &value);

} // namespace Samphirepitch
