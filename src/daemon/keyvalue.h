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

/** The value of one key of a TOML file after checking. The order of the alternatives is the order of KeyKind. */
using KeyValue = std::variant<std::string, std::uint64_t, double, bool, std::chrono::milliseconds, Endpoint, std::vector<Endpoint>>;

/** The type of a key. */
enum class KeyKind {
    Text,
    Integer,
    Number,
    Flag,
    Milliseconds,
    Address, /**< "a.b.c.d:port" */
    AddressList,
};

/** Returns the name of the type for people, as used in findings and in the reference page. */
std::string_view keyKindName(KeyKind kind);

/** Returns @p value as it is written in TOML. */
std::string formatKeyValue(const KeyValue &value);

} // namespace Samphirepitch
