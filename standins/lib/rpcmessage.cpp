#include "lib/rpcmessage.h"

#include <msgpack.hpp>

#include <algorithm>

namespace Samphirepitch::StandIn
{

namespace
{

using Packer = msgpack::packer<msgpack::sbuffer>;

constexpr std::uint64_t maxServiceTime = 3'600'000'000; // microseconds
const std::string encodedNil("\xc0", 1);

std::string toString(const msgpack::sbuffer &buffer)
{
    return std::string(buffer.data(), buffer.size());
}

void readParameter(const msgpack::object &parameter, RpcMessage &message)
{
    if (parameter.type != msgpack::type::MAP) {
        return;
    }
    for (const auto &[key, value] : parameter.via.map) {
        const std::string_view name
            = key.type == msgpack::type::STR ? std::string_view(key.via.str.ptr, key.via.str.size) : std::string_view();
        if (name == "work_us" && value.type == msgpack::type::POSITIVE_INTEGER) {
            message.serviceTime = std::chrono::microseconds(std::min(value.via.u64, maxServiceTime));
        } else if (name == "body") {
            msgpack::sbuffer buffer;
            msgpack::pack(buffer, value);
            message.body = toString(buffer);
        }
    }
}

void readParameters(std::span<const std::uint8_t> payload, RpcMessage &message)
{
    try {
        const auto handle = msgpack::unpack(reinterpret_cast<const char *>(payload.data()), payload.size());
        const msgpack::object &parameters = handle.get().via.array.ptr[handle.get().via.array.size - 1];
        if (parameters.type == msgpack::type::ARRAY && parameters.via.array.size > 0) {
            readParameter(parameters.via.array.ptr[0], message);
        }
    } catch (const msgpack::unpack_error &) {
        // Parameters that cannot be decoded count as absent; the envelope was decoded before.
        message.body = encodedNil;
    }
}

} // namespace

std::optional<RpcMessage> RpcMessage::decode(std::span<const std::uint8_t> payload)
{
    const auto envelope = RpcEnvelope::decode(payload);
    if (!envelope || envelope->kind == RpcKind::Response) {
        return std::nullopt;
    }
    RpcMessage message;
    message.kind = envelope->kind;
    message.id = envelope->id;
    message.method = envelope->method;
    message.body = encodedNil;
    readParameters(payload, message);
    return message;
}

std::string RpcMessage::encodeResult(
    std::uint32_t id, std::string_view server, std::string_view service, const std::string &body, std::uint32_t runs)
{
    msgpack::sbuffer buffer;
    Packer packer(buffer);
    packer.pack_array(4).pack(1).pack(id).pack_nil().pack_map(4);
    packer.pack("server").pack(server).pack("service").pack(service).pack("echo");
    buffer.write(body.data(), body.size());
    packer.pack("runs").pack(runs);
    return toString(buffer);
}

std::string RpcMessage::encodeNotRun(std::uint32_t id, std::string_view reason)
{
    msgpack::sbuffer buffer;
    Packer packer(buffer);
    packer.pack_array(4).pack(1).pack(id).pack_map(2);
    packer.pack("outcome").pack("not_run").pack("reason").pack(reason);
    packer.pack_nil();
    return toString(buffer);
}

std::string RpcMessage::encodeNotification(std::string_view method, std::string_view server, std::uint64_t count)
{
    msgpack::sbuffer buffer;
    Packer packer(buffer);
    packer.pack_array(3).pack(2).pack(method).pack_array(2).pack(server).pack(count);
    return toString(buffer);
}

} // namespace Samphirepitch::StandIn
