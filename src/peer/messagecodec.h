#pragma once

#include "core/error.h"
#include "peer/message.h"

#include <string>
#include <string_view>

namespace Samphirepitch
{

/** Messages as msgpack arrays: [type, wall milliseconds, counter, fields...]. */
class MessageCodec
{
public:
    /** Longest encoding of a message other than PartReply; bounds what decoding of small elements can allocate. */
    static constexpr std::size_t maxPlainSize = 256 * 1024; // bytes

    /** Returns the encoding; the fields are within MessageLimits. */
    static std::string encode(const Envelope &envelope);

    /**
     * Reads a message.
     * @param body the whole body of a frame
     * @return the message, Malformed for an unknown type, wrong count or wrong type of a field, or TooLarge
     */
    static Result<Envelope> decode(std::string_view body);
};

} // namespace Samphirepitch
