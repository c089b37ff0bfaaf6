#include "peer/framecodec.h"

namespace Samphirepitch
{

Result<std::size_t> FrameCodec::bodySize(const Header &header, std::size_t limit)
{
    std::size_t size = 0;
    for (const std::uint8_t byte : header) {
        size = size << 8 | byte;
    }
    if (size == 0) {
        return failure(ErrorKind::Malformed, "frame", "the body must have at least one byte");
    }
    if (size > limit) {
        return failure(ErrorKind::TooLarge, "frame", std::to_string(size) + " bytes; the limit is " + std::to_string(limit));
    }
    return size;
}

Result<std::string> FrameCodec::encode(std::string_view body)
{
    if (body.size() > maxBody) {
        return failure(ErrorKind::TooLarge, "frame", std::to_string(body.size()) + " bytes; the limit is " + std::to_string(maxBody));
    }
    std::string frame;
    frame.reserve(headerSize + body.size());
    for (int shift = 24; shift >= 0; shift -= 8) {
        frame += static_cast<char>(body.size() >> shift & 0xff);
    }
    frame.append(body);
    return frame;
}

} // namespace Samphirepitch
