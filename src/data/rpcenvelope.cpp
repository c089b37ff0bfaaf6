#include "data/rpcenvelope.h"

#include "data/internal/tokenreader.h"

namespace Samphirepitch
{

namespace
{

using DecodeResult = tl::expected<void, DecodeError>;

DecodeResult malformed()
{
    return tl::unexpected(DecodeError::BadRpc);
}

DecodeResult readId(TokenReader &reader, RpcEnvelope &envelope)
{
    const auto token = reader.next();
    if (!token || token->type != TokenType::Number) {
        return malformed();
    }
    envelope.id = token->number;
    return {};
}

DecodeResult readMethod(TokenReader &reader, RpcEnvelope &envelope)
{
    const auto token = reader.next();
    if (!token || token->type != TokenType::Text || token->text.empty() || token->text.size() > RpcEnvelope::maxMethodSize) {
        return malformed();
    }
    envelope.method = token->text;
    return reader.skip(1, RpcEnvelope::maxDepth);
}

DecodeResult readResponse(TokenReader &reader, RpcEnvelope &envelope)
{
    const auto error = reader.next();
    if (!error) {
        return malformed();
    }
    envelope.failed = error->type != TokenType::Nil;
    std::uint64_t remaining = 0;
    if (error->type == TokenType::Array) {
        remaining = error->number;
    } else if (error->type == TokenType::Map) {
        remaining = static_cast<std::uint64_t>(error->number) * 2;
    }
    if (error->type == TokenType::Map && remaining >= 2) {
        const auto key = reader.next();
        if (!key) {
            return malformed();
        }
        if (key->type == TokenType::Array || key->type == TokenType::Map) {
            return malformed();
        }
        --remaining;
        if (key->type == TokenType::Text && key->text == "outcome") {
            const auto value = reader.next();
            if (!value || value->type != TokenType::Text) {
                return malformed();
            }
            envelope.notRun = value->text == "not_run";
            --remaining;
        }
    }
    if (const DecodeResult skipped = reader.skip(remaining, RpcEnvelope::maxDepth); !skipped) {
        return skipped;
    }
    return reader.skip(1, RpcEnvelope::maxDepth);
}

DecodeResult readMessage(TokenReader &reader, std::uint32_t kind, std::uint32_t length, RpcEnvelope &envelope)
{
    if (kind == 0 && length == 4) {
        envelope.kind = RpcKind::Request;
        const DecodeResult id = readId(reader, envelope);
        return id ? readMethod(reader, envelope) : id;
    }
    if (kind == 1 && length == 4) {
        envelope.kind = RpcKind::Response;
        const DecodeResult id = readId(reader, envelope);
        return id ? readResponse(reader, envelope) : id;
    }
    if (kind == 2 && length == 3) {
        envelope.kind = RpcKind::Notification;
        return readMethod(reader, envelope);
    }
    return malformed();
}

} // namespace

tl::expected<RpcEnvelope, DecodeError> RpcEnvelope::decode(std::span<const std::uint8_t> payload)
{
    TokenReader reader(payload);
    const auto messageArray = reader.next();
    if (!messageArray || messageArray->type != TokenType::Array) {
        return tl::unexpected(DecodeError::BadRpc);
    }
    const auto kind = reader.next();
    if (!kind || kind->type != TokenType::Number) {
        return tl::unexpected(DecodeError::BadRpc);
    }
    RpcEnvelope envelope;
    if (const DecodeResult decoded = readMessage(reader, kind->number, messageArray->number, envelope); !decoded) {
        return tl::unexpected(decoded.error());
    }
    if (!reader.atEnd()) {
        return tl::unexpected(DecodeError::BadRpc);
    }
    return envelope;
}

} // namespace Samphirepitch
