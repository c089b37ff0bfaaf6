#include "load/callermessage.h"

#include <msgpack.hpp>

namespace Samphirepitch
{

namespace
{

using Packer = msgpack::packer<msgpack::sbuffer>;

void packText(Packer &packer, std::string_view text)
{
    packer.pack_str(static_cast<std::uint32_t>(text.size()));
    packer.pack_str_body(text.data(), static_cast<std::uint32_t>(text.size()));
}

std::vector<char> toBytes(const msgpack::sbuffer &buffer)
{
    return { buffer.data(), buffer.data() + buffer.size() };
}

const msgpack::object *findValue(const msgpack::object &object, std::string_view key)
{
    if (object.type != msgpack::type::MAP) {
        return nullptr;
    }
    for (std::uint32_t index = 0; index < object.via.map.size; ++index) {
        const msgpack::object_kv &pair = object.via.map.ptr[index];
        if (pair.key.type == msgpack::type::STR && std::string_view(pair.key.via.str.ptr, pair.key.via.str.size) == key) {
            return &pair.val;
        }
    }
    return nullptr;
}

std::string textOrEmpty(const msgpack::object *object)
{
    const bool isText = object && (object->type == msgpack::type::STR || object->type == msgpack::type::BIN);
    return isText ? std::string(object->via.str.ptr, object->via.str.size) : std::string();
}

std::uint64_t numberOrZero(const msgpack::object *object)
{
    return object && object->type == msgpack::type::POSITIVE_INTEGER ? object->via.u64 : 0;
}

ResponseKind responseKind(const msgpack::object &error)
{
    if (error.type == msgpack::type::NIL) {
        return ResponseKind::Result;
    }
    const std::string outcome = textOrEmpty(findValue(error, "outcome"));
    if (outcome == "not_run") {
        return findValue(error, "retry_after_ms") ? ResponseKind::Refused : ResponseKind::NotRun;
    }
    return outcome == "unknown" ? ResponseKind::Unknown : ResponseKind::Failed;
}

std::optional<CallerResponse> decodeResponse(const msgpack::object_array &array)
{
    if (array.size != 4 || array.ptr[1].type != msgpack::type::POSITIVE_INTEGER || array.ptr[1].via.u64 > UINT32_MAX) {
        return std::nullopt;
    }
    const msgpack::object &result = array.ptr[3];
    return CallerResponse { static_cast<std::uint32_t>(array.ptr[1].via.u64), responseKind(array.ptr[2]),
        textOrEmpty(findValue(result, "service")), textOrEmpty(findValue(result, "server")), textOrEmpty(findValue(result, "echo")),
        numberOrZero(findValue(result, "runs")) };
}

std::optional<SeenNotification> decodeSeenNotification(const msgpack::object_array &array)
{
    if (array.size != 3 || textOrEmpty(&array.ptr[1]) != "seen" || array.ptr[2].type != msgpack::type::ARRAY) {
        return std::nullopt;
    }
    const msgpack::object_array &params = array.ptr[2].via.array;
    if (params.size < 2 || params.ptr[1].type != msgpack::type::POSITIVE_INTEGER) {
        return std::nullopt;
    }
    return SeenNotification { textOrEmpty(&params.ptr[0]), params.ptr[1].via.u64 };
}

} // namespace

CallerMessage CallerMessage::decode(std::span<const char> datagram)
{
    CallerMessage message;
    try {
        std::size_t offset = 0;
        const msgpack::object_handle handle = msgpack::unpack(datagram.data(), datagram.size(), offset);
        const msgpack::object &object = handle.get();
        if (offset != datagram.size() || object.type != msgpack::type::ARRAY || object.via.array.size == 0) {
            return message;
        }
        const msgpack::object &kind = object.via.array.ptr[0];
        if (kind.type == msgpack::type::POSITIVE_INTEGER && kind.via.u64 == 1) {
            message.response = decodeResponse(object.via.array);
        } else if (kind.type == msgpack::type::POSITIVE_INTEGER && kind.via.u64 == 2) {
            message.seen = decodeSeenNotification(object.via.array);
        }
    } catch (const msgpack::unpack_error &) {
        return {};
    }
    return message;
}

std::vector<char> encodeRequest(std::uint32_t id, std::string_view method, std::uint64_t workUs, std::string_view body)
{
    msgpack::sbuffer buffer;
    Packer packer(buffer);
    packer.pack_array(4).pack(0).pack(id);
    packText(packer, method);
    packer.pack_array(1).pack_map(2);
    packText(packer, "work_us");
    packer.pack(workUs);
    packText(packer, "body");
    packText(packer, body);
    return toBytes(buffer);
}

std::vector<char> encodeFeed(std::string_view body)
{
    msgpack::sbuffer buffer;
    Packer packer(buffer);
    packer.pack_array(3).pack(2);
    packText(packer, "feed");
    packer.pack_array(1).pack_map(1);
    packText(packer, "body");
    packText(packer, body);
    return toBytes(buffer);
}

} // namespace Samphirepitch
