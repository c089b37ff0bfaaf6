#include "daemon/keyvalue.h"

#include <sstream>

namespace Samphirepitch
{

namespace
{

struct Formatter {
    std::string operator()(const std::string &value) const
    {
        return '"' + value + '"';
    }

    std::string operator()(std::uint64_t value) const
    {
        return std::to_string(value);
    }

    std::string operator()(double value) const
    {
        std::ostringstream text;
        text << value;
        return text.str();
    }

    std::string operator()(bool value) const
    {
        return value ? "true" : "false";
    }

    std::string operator()(std::chrono::milliseconds value) const
    {
        return std::to_string(value.count());
    }

    std::string operator()(Endpoint value) const
    {
        return value.isUnset() ? "\"\"" : '"' + value.toString() + '"';
    }

    std::string operator()(const std::vector<Endpoint> &values) const
    {
        std::string text = "[";
        for (const Endpoint value : values) {
            text += (text.size() > 1 ? ", " : "") + operator()(value);
        }
        return text + ']';
    }
};

} // namespace

std::string_view keyKindName(KeyKind kind)
{
    switch (kind) {
    case KeyKind::Text:
        return "text";
    case KeyKind::Integer:
        return "integer";
    case KeyKind::Number:
        return "number";
    case KeyKind::Flag:
        return "boolean";
    case KeyKind::Milliseconds:
        return "milliseconds";
    case KeyKind::Address:
        return "address";
    case KeyKind::AddressList:
        return "list of addresses";
    }
    return "unknown";
}

std::string formatKeyValue(const KeyValue &value)
{
    return std::visit(Formatter(), value);
}

} // namespace Samphirepitch
