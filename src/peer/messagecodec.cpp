#include "peer/messagecodec.h"

#include "peer/internal/fieldreader.h"
#include "peer/internal/fieldwriter.h"

#include <msgpack.hpp>

#include <array>
#include <utility>

namespace Samphirepitch
{

namespace
{

constexpr std::uint8_t fixArray = 0x90; // msgpack marker of an array of at most 15 elements
constexpr std::size_t typeCount = std::variant_size_v<Message>;
constexpr std::size_t partReplyIndex = 4;
constexpr std::size_t maxDepth = 8; // nesting levels; EventsReply needs 5

static_assert(std::is_same_v<std::variant_alternative_t<partReplyIndex, Message>, PartReply>);

constexpr std::array<std::string_view, typeCount> typeNames { "hello", "heartbeat", "announce", "part_request", "part_reply",
    "member_events", "server_states", "flow_exception_batch", "status_query", "status_reply", "events_query", "events_reply",
    "drain_request", "drain_reply", "generation_report", "flow_exception_ack" };

template<std::size_t... Indexes>
Message makeMessage(std::size_t wanted, std::index_sequence<Indexes...>)
{
    Message message;
    ((Indexes == wanted ? static_cast<void>(message.emplace<Indexes>()) : static_cast<void>(0)), ...);
    return message;
}

/**
 * Returns the limits for the unpacker, which allocates memory for each array by the size that the input claims. Their order is: array
 * elements, map entries, bytes of a string, of a binary and of an extension value, nesting depth.
 */
msgpack::unpack_limit unpackLimits(std::size_t index)
{
    if (index == partReplyIndex) {
        return { 8, 0, 0, MessageLimits::partSize, 0, 2 };
    }
    return { MessageLimits::flowKeys, 0, 1024, 64, 0, maxDepth };
}

/** Callback of the unpacker. Lets strings and binary values refer to the input instead of copies. */
bool referenceInput(msgpack::type::object_type, std::size_t, void *)
{
    return true;
}

Result<Envelope> readEnvelope(const msgpack::object &object, std::size_t index)
{
    if (object.type != msgpack::type::ARRAY) {
        return failure(ErrorKind::Malformed, "message", "not an array");
    }
    std::optional<ErrorKind> fault;
    FieldReader reader(object.via.array, fault);
    std::uint8_t type = 0;
    Envelope envelope;
    reader.number(type);
    visitFields(reader, envelope.at);
    envelope.message = makeMessage(index, std::make_index_sequence<typeCount>());
    std::visit([&reader](auto &message) { visitFields(reader, message); }, envelope.message);
    reader.finish();
    if (fault) {
        return failure(*fault, std::string(typeNames[index]), "a field is missing, has a wrong type or is above its limit");
    }
    return envelope;
}

} // namespace

std::string MessageCodec::encode(const Envelope &envelope)
{
    msgpack::sbuffer buffer;
    FieldWriter::Packer packer(buffer);
    FieldWriter writer(packer);
    FieldCounter counter;
    std::visit([&counter](const auto &message) { visitFields(counter, message); }, envelope.message);
    packer.pack_array(counter.count() + 3);
    writer.number(envelope.message.index() + 1);
    visitFields(writer, envelope.at);
    std::visit([&writer](const auto &message) { visitFields(writer, message); }, envelope.message);
    return std::string(buffer.data(), buffer.size());
}

Result<Envelope> MessageCodec::decode(std::string_view body)
{
    // The type is read first, because the limits of the unpacker depend on it.
    if (body.size() < 2 || (static_cast<std::uint8_t>(body[0]) & 0xf0) != fixArray) {
        return failure(ErrorKind::Malformed, "message", "not an array of at most 15 fields");
    }
    const std::size_t type = static_cast<std::uint8_t>(body[1]);
    if (type == 0 || type > typeCount) {
        return failure(ErrorKind::Malformed, "message", "unknown type " + std::to_string(type));
    }
    const std::size_t index = type - 1;
    if (index != partReplyIndex && body.size() > maxPlainSize) {
        return failure(ErrorKind::TooLarge, std::string(typeNames[index]), "the message is above the limit of 256 KB");
    }
    // The unpacker reports errors only by exceptions.
    try {
        std::size_t offset = 0;
        msgpack::zone zone(1024);
        bool referenced = false;
        const msgpack::object object
            = msgpack::unpack(zone, body.data(), body.size(), offset, referenced, referenceInput, nullptr, unpackLimits(index));
        if (offset != body.size()) {
            return failure(ErrorKind::Malformed, std::string(typeNames[index]), "there are extra bytes after the message");
        }
        return readEnvelope(object, index);
    } catch (const msgpack::size_overflow &) {
        return failure(ErrorKind::TooLarge, std::string(typeNames[index]), "a field is above its limit");
    } catch (const msgpack::unpack_error &) {
        return failure(ErrorKind::Malformed, std::string(typeNames[index]), "the message is not valid msgpack");
    }
}

std::string_view messageTypeName(std::size_t index)
{
    return typeNames[index];
}

} // namespace Samphirepitch
