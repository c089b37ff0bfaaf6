#pragma once

#include "core/error.h"
#include "peer/message.h"

#include <string>
#include <string_view>

namespace Samphirepitch
{

/** Encodes and decodes messages as msgpack arrays: [type, wall milliseconds, counter, fields...]. */
class MessageCodec
{
public:
    /** Maximum size of an encoded message other than PartReply, in bytes. Bounds the memory that decoding many small elements takes. */
    static constexpr std::size_t maxPlainSize = 256 * 1024;

    /** Returns the encoded message. Its fields must be within MessageLimits. */
    static std::string encode(const Envelope &envelope);

    /**
     * Decodes a message.
     * @param body the complete body of a frame
     * @return the message, Malformed for an unknown type or a missing, extra or invalid field, or TooLarge above a limit
     */
    static Result<Envelope> decode(std::string_view body);
};

} // namespace Samphirepitch
