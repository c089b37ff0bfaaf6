#include "objectstore/platformcodec.h"

#include "objectstore/base64.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace Samphirepitch
{

namespace
{

using Json = nlohmann::json;

constexpr std::size_t maxKeySize = 200; // bytes

Json parse(std::string_view stringField)
{
    return Json::parse(stringField.begin(), stringField.end(), nullptr, false);
}

std::optional<std::string> stringField(const Json &object, const char *field)
{
    const auto found = object.find(field);
    if (found == object.end() || !found->is_string()) {
        return std::nullopt;
    }
    return found->get<std::string>();
}

std::optional<PlatformObject> readObject(const Json &entry)
{
    const auto key = stringField(entry, "key");
    const auto body = stringField(entry, "body");
    const auto version = entry.find("version");
    if (!key || !body || version == entry.end() || !version->is_number_unsigned()) {
        return std::nullopt;
    }
    auto bytes = decodeBase64(*body);
    if (!bytes || !PlatformCodec::isKey(*key)) {
        return std::nullopt;
    }
    return PlatformObject { *key, std::move(*bytes), version->get<std::uint64_t>() };
}

std::optional<ListedInstance> readInstance(const Json &entry)
{
    const auto id = stringField(entry, "id");
    const auto domain = stringField(entry, "failure_domain");
    const auto peerAddress = stringField(entry, "peer_address");
    const auto dataAddress = stringField(entry, "data_address");
    if (!id || !PlatformCodec::isKey(*id) || !domain || !peerAddress || !dataAddress) {
        return std::nullopt;
    }
    const auto peer = Endpoint::parse(*peerAddress);
    const auto data = Endpoint::parse(*dataAddress);
    const auto leaving = entry.find("leaving");
    if (!peer || !data || (leaving != entry.end() && !leaving->is_boolean())) {
        return std::nullopt;
    }
    return ListedInstance { *id, *domain, *peer, *data, leaving != entry.end() && leaving->get<bool>() };
}

template<typename T>
Result<std::vector<T>> decodeList(std::string_view json, std::optional<T> (*read)(const Json &), const char *subject)
{
    const Json list = parse(json);
    if (!list.is_array()) {
        return failure(ErrorKind::Malformed, subject, "the response is not a JSON array");
    }
    std::vector<T> values;
    values.reserve(list.size());
    for (const Json &entry : list) {
        std::optional<T> value = entry.is_object() ? read(entry) : std::nullopt;
        if (!value) {
            return failure(ErrorKind::Malformed, subject, "entry " + std::to_string(values.size()) + " is not valid");
        }
        values.push_back(std::move(*value));
    }
    return values;
}

} // namespace

std::string PlatformCodec::encodeObject(const PlatformObject &object)
{
    return Json { { "key", object.key }, { "version", object.version }, { "body", encodeBase64(object.body) } }.dump();
}

Result<std::vector<PlatformObject>> PlatformCodec::decodeObjects(std::string_view json)
{
    return decodeList<PlatformObject>(json, readObject, "list");
}

std::string PlatformCodec::encodeInstance(const ListedInstance &instance)
{
    return Json {
        { "id", instance.id }, { "failure_domain", instance.failureDomain }, { "peer_address", instance.peerAddress.toString() },
        { "data_address", instance.dataAddress.toString() }, { "leaving", instance.leaving }
    }.dump();
}

Result<ListedInstance> PlatformCodec::decodeInstance(std::string_view json, std::string_view id)
{
    Json entry = parse(json);
    if (entry.is_object() && !entry.contains("id") && !id.empty()) {
        entry["id"] = id;
    }
    auto instance = entry.is_object() ? readInstance(entry) : std::nullopt;
    if (!instance) {
        return failure(
            ErrorKind::Malformed, "instance", "an entry needs id, failure_domain, peer_address, data_address and optionally leaving");
    }
    return std::move(*instance);
}

Result<std::vector<ListedInstance>> PlatformCodec::decodeInstances(std::string_view json)
{
    return decodeList<ListedInstance>(json, readInstance, "instances");
}

bool PlatformCodec::isPrefix(std::string_view prefix)
{
    return prefix.size() <= maxKeySize && std::all_of(prefix.begin(), prefix.end(), [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '.' || c == '/';
    });
}

bool PlatformCodec::isKey(std::string_view key)
{
    return !key.empty() && isPrefix(key);
}

} // namespace Samphirepitch
