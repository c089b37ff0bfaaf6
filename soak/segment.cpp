#include "soak/segment.h"

#include "core/hash.h"

namespace Samphirepitch::Soak
{

namespace
{

constexpr std::size_t headSize = 34;
constexpr std::size_t tokenAt = 12;
constexpr std::size_t padAt = 17;
constexpr std::size_t sumAt = 20;
constexpr std::uint64_t sumKey = 0x736f616b; // known to clients and servers only

void put(std::string &bytes, std::uint64_t value, std::size_t size)
{
    for (std::size_t rest = size; rest > 0; --rest) {
        bytes += static_cast<char>(value >> (8 * (rest - 1)));
    }
}

std::uint32_t take(std::string_view bytes, std::size_t at, std::size_t size)
{
    std::uint32_t value = 0;
    for (std::size_t index = 0; index < size; ++index) {
        value = value << 8 | static_cast<std::uint8_t>(bytes[at + index]);
    }
    return value;
}

/** Returns the sum over everything but token, padding and the sum itself. */
std::uint32_t sumOf(std::string_view bytes)
{
    std::string covered(bytes);
    covered.replace(tokenAt, 4, 4, '\0');
    covered.replace(padAt, sumAt + 4 - padAt, sumAt + 4 - padAt, '\0');
    const auto sum = static_cast<std::uint32_t>(hash64(covered, sumKey));
    return sum == 0 ? 1 : sum; // 0 marks a reset of the system
}

} // namespace

std::string Segment::encode() const
{
    std::string bytes;
    put(bytes, source.port(), 2);
    put(bytes, destination.port(), 2);
    put(bytes, destination.address(), 4);
    put(bytes, source.address(), 4);
    put(bytes, token, 4);
    put(bytes, flags, 1);
    put(bytes, 0, 3);
    put(bytes, 0, 4);
    put(bytes, data.size(), 2);
    put(bytes, sequence, 4);
    put(bytes, acknowledgement, 4);
    bytes += data;
    std::string sum;
    put(sum, sumOf(bytes), 4);
    bytes.replace(sumAt, 4, sum);
    return bytes;
}

std::optional<Segment> Segment::decode(std::string_view bytes)
{
    if (bytes.size() < headSize || bytes.size() != headSize + take(bytes, 24, 2)) {
        return std::nullopt;
    }
    return Segment { .source = Endpoint(take(bytes, 8, 4), static_cast<std::uint16_t>(take(bytes, 0, 2))),
        .destination = Endpoint(take(bytes, 4, 4), static_cast<std::uint16_t>(take(bytes, 2, 2))),
        .token = take(bytes, tokenAt, 4),
        .flags = static_cast<std::uint8_t>(bytes[16]),
        .sequence = take(bytes, 26, 4),
        .acknowledgement = take(bytes, 30, 4),
        .data = std::string(bytes.substr(headSize)),
        .genuine = take(bytes, sumAt, 4) == sumOf(bytes) };
}

} // namespace Samphirepitch::Soak
