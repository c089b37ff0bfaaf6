#include "soak/segment.h"

#include "core/hash.h"

namespace Samphirepitch::Soak
{

namespace
{

constexpr std::size_t headerSize = 34;
constexpr std::size_t tokenOffset = 12;
constexpr std::size_t paddingOffset = 17;
constexpr std::size_t checksumOffset = 20;
constexpr std::uint64_t checksumKey = 0x736f616b; // known only to clients and servers

void appendNumber(std::string &bytes, std::uint64_t value, std::size_t size)
{
    for (std::size_t rest = size; rest > 0; --rest) {
        bytes += static_cast<char>(value >> (8 * (rest - 1)));
    }
}

std::uint32_t readNumber(std::string_view bytes, std::size_t at, std::size_t size)
{
    std::uint32_t value = 0;
    for (std::size_t index = 0; index < size; ++index) {
        value = value << 8 | static_cast<std::uint8_t>(bytes[at + index]);
    }
    return value;
}

/** Returns the checksum over all bytes except the token, the padding and the checksum field. */
std::uint32_t checksumOf(std::string_view bytes)
{
    std::string covered(bytes);
    covered.replace(tokenOffset, 4, 4, '\0');
    covered.replace(paddingOffset, checksumOffset + 4 - paddingOffset, checksumOffset + 4 - paddingOffset, '\0');
    const auto checksum = static_cast<std::uint32_t>(hash64(covered, checksumKey));
    return checksum == 0 ? 1 : checksum; // 0 marks a reset that the load balancer wrote
}

} // namespace

std::string Segment::encode() const
{
    std::string bytes;
    appendNumber(bytes, source.port(), 2);
    appendNumber(bytes, destination.port(), 2);
    appendNumber(bytes, destination.address(), 4);
    appendNumber(bytes, source.address(), 4);
    appendNumber(bytes, token, 4);
    appendNumber(bytes, flags, 1);
    appendNumber(bytes, 0, 3);
    appendNumber(bytes, 0, 4);
    appendNumber(bytes, data.size(), 2);
    appendNumber(bytes, sequence, 4);
    appendNumber(bytes, acknowledgement, 4);
    bytes += data;
    std::string checksum;
    appendNumber(checksum, checksumOf(bytes), 4);
    bytes.replace(checksumOffset, 4, checksum);
    return bytes;
}

std::optional<Segment> Segment::decode(std::string_view bytes)
{
    if (bytes.size() < headerSize || bytes.size() != headerSize + readNumber(bytes, 24, 2)) {
        return std::nullopt;
    }
    return Segment { .source = Endpoint(readNumber(bytes, 8, 4), static_cast<std::uint16_t>(readNumber(bytes, 0, 2))),
        .destination = Endpoint(readNumber(bytes, 4, 4), static_cast<std::uint16_t>(readNumber(bytes, 2, 2))),
        .token = readNumber(bytes, tokenOffset, 4),
        .flags = static_cast<std::uint8_t>(bytes[16]),
        .sequence = readNumber(bytes, 26, 4),
        .acknowledgement = readNumber(bytes, 30, 4),
        .data = std::string(bytes.substr(headerSize)),
        .checksumValid = readNumber(bytes, checksumOffset, 4) == checksumOf(bytes) };
}

} // namespace Samphirepitch::Soak
