#include "data/rpcenvelope.h"

#include "data/internal/tokenreader.h"

namespace Samphirepitch
{

namespace
{

using Step = tl::expected<void, PacketFault>;

Step bad()
{
    return tl::unexpected(PacketFault::BadRpc);
}

Step readId(TokenReader &reader, RpcEnvelope &envelope)
{
    const auto token = reader.next();
    if (!token || token->type != TokenType::Number) {
        return bad();
    }
    envelope.id = token->number;
    return {};
}

Step readMethod(TokenReader &reader, RpcEnvelope &envelope)
{
    const auto token = reader.next();
    if (!token || token->type != TokenType::Text || token->text.empty() || token->text.size() > RpcEnvelope::maxMethodSize) {
        return bad();
    }
    envelope.method = token->text;
    return reader.skip(1, RpcEnvelope::maxDepth);
}

Step readOutcome(TokenReader &reader, RpcEnvelope &envelope)
{
    const auto error = reader.next();
    if (!error) {
        return bad();
    }
    envelope.failed = error->type != TokenType::Nil;
    std::uint64_t left = 0;
    if (error->type == TokenType::Array) {
        left = error->number;
    } else if (error->type == TokenType::Map) {
        left = static_cast<std::uint64_t>(error->number) * 2;
    }
    if (error->type == TokenType::Map && left >= 2) {
        const auto key = reader.next();
        if (!key) {
            return bad();
        }
        if (key->type == TokenType::Array || key->type == TokenType::Map) {
            return bad();
        }
        --left;
        if (key->type == TokenType::Text && key->text == "outcome") {
            const auto value = reader.next();
            if (!value || value->type != TokenType::Text) {
                return bad();
            }
            envelope.notRun = value->text == "not_run";
            --left;
        }
    }
    if (const Step rest = reader.skip(left, RpcEnvelope::maxDepth); !rest) {
        return rest;
    }
    return reader.skip(1, RpcEnvelope::maxDepth);
}

Step readBody(TokenReader &reader, std::uint32_t kind, std::uint32_t length, RpcEnvelope &envelope)
{
    if (kind == 0 && length == 4) {
        envelope.kind = RpcKind::Request;
        const Step id = readId(reader, envelope);
        return id ? readMethod(reader, envelope) : id;
    }
    if (kind == 1 && length == 4) {
        envelope.kind = RpcKind::Response;
        const Step id = readId(reader, envelope);
        return id ? readOutcome(reader, envelope) : id;
    }
    if (kind == 2 && length == 3) {
        envelope.kind = RpcKind::Notification;
        return readMethod(reader, envelope);
    }
    return bad();
}

} // namespace

tl::expected<RpcEnvelope, PacketFault> RpcEnvelope::decode(std::span<const std::uint8_t> payload)
{
    TokenReader reader(payload);
    const auto array = reader.next();
    if (!array || array->type != TokenType::Array) {
        return tl::unexpected(PacketFault::BadRpc);
    }
    const auto kind = reader.next();
    if (!kind || kind->type != TokenType::Number) {
        return tl::unexpected(PacketFault::BadRpc);
    }
    RpcEnvelope envelope;
    if (const Step body = readBody(reader, kind->number, array->number, envelope); !body) {
        return tl::unexpected(body.error());
    }
    if (!reader.atEnd()) {
        return tl::unexpected(PacketFault::BadRpc);
    }
    return envelope;
}

} // namespace Samphirepitch
