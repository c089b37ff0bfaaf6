#include "data/proxyheader.h"

#include <algorithm>
#include <array>

namespace Samphirepitch
{

namespace
{

constexpr std::array<std::uint8_t, 12> signature { 0x0d, 0x0a, 0x0d, 0x0a, 0x00, 0x0d, 0x0a, 0x51, 0x55, 0x49, 0x54, 0x0a };
constexpr std::uint8_t versionAndCommand = 0x21; // version 2, command PROXY
constexpr std::uint8_t datagramOverIpv4 = 0x12;
constexpr std::size_t lengthOffset = 14;
constexpr std::size_t addressOffset = 16;
constexpr std::size_t tlvHeaderSize = 3; // 8-bit type and 16-bit length
constexpr std::uint8_t acceptedByOwnerBit = 0x80; // in the value of the hops TLV

enum TlvType : std::uint8_t {
    DeadlineTlv = 0xe0,
    CancellationTlv = 0xe1,
    LoadTlv = 0xe2,
    HopsTlv = 0xe8,
};

std::uint64_t readBigEndian(std::span<const std::uint8_t> bytes)
{
    std::uint64_t value = 0;
    for (const std::uint8_t byte : bytes) {
        value = value << 8 | byte;
    }
    return value;
}

/** Appends big-endian numbers to a buffer. */
class BigEndianWriter
{
public:
    explicit BigEndianWriter(std::span<std::uint8_t> out)
        : m_out(out)
    {
    }

    void number(std::uint64_t value, std::size_t size)
    {
        for (std::size_t index = size; index-- > 0;) {
            m_out[m_size++] = static_cast<std::uint8_t>(value >> (8 * index));
        }
    }

    void tlv(TlvType type, std::uint64_t value, std::size_t size)
    {
        number(type, 1);
        number(size, 2);
        number(value, size);
    }

    std::size_t size() const
    {
        return m_size;
    }

private:
    std::span<std::uint8_t> m_out;
    std::size_t m_size = 0;
};

bool readTlv(std::uint8_t type, std::span<const std::uint8_t> value, ProxyHeader::Fields &fields)
{
    switch (type) {
    case DeadlineTlv:
        fields.deadline = readBigEndian(value);
        return value.size() == 8;
    case CancellationTlv:
        fields.cancelledRequest = static_cast<std::uint32_t>(readBigEndian(value));
        return value.size() == 4;
    case LoadTlv:
        if (value.size() != 4) {
            return false;
        }
        fields.load = LoadReport { static_cast<std::uint16_t>(readBigEndian(value.first(2))),
            static_cast<std::uint16_t>(readBigEndian(value.last(2))) };
        return true;
    case HopsTlv:
        if (value.size() != 1) {
            return false;
        }
        fields.hops = value.front() & static_cast<std::uint8_t>(~acceptedByOwnerBit);
        fields.acceptedByOwner = (value.front() & acceptedByOwnerBit) != 0;
        return true;
    default:
        return true;
    }
}

} // namespace

ProxyHeader::ProxyHeader(Fields fields)
    : m_fields(fields)
{
}

tl::expected<ProxyHeader, DecodeError> ProxyHeader::decode(std::span<const std::uint8_t> datagram, std::span<const std::uint8_t> &payload)
{
    if (datagram.size() < fixedSize) {
        return tl::unexpected(DecodeError::Truncated);
    }
    if (!std::equal(signature.begin(), signature.end(), datagram.begin()) || datagram[12] != versionAndCommand) {
        return tl::unexpected(DecodeError::BadSignature);
    }
    if (datagram[13] != datagramOverIpv4) {
        return tl::unexpected(DecodeError::UnsupportedFamily);
    }
    const std::size_t end = addressOffset + readBigEndian(datagram.subspan(lengthOffset, 2));
    if (end < fixedSize || end > datagram.size()) {
        return tl::unexpected(DecodeError::Truncated);
    }
    Fields fields;
    fields.source = Endpoint(static_cast<std::uint32_t>(readBigEndian(datagram.subspan(16, 4))),
        static_cast<std::uint16_t>(readBigEndian(datagram.subspan(24, 2))));
    fields.destination = Endpoint(static_cast<std::uint32_t>(readBigEndian(datagram.subspan(20, 4))),
        static_cast<std::uint16_t>(readBigEndian(datagram.subspan(26, 2))));
    std::size_t offset = fixedSize;
    while (offset < end) {
        if (end - offset < tlvHeaderSize) {
            return tl::unexpected(DecodeError::Truncated);
        }
        const std::size_t length = readBigEndian(datagram.subspan(offset + 1, 2));
        if (end - offset - tlvHeaderSize < length) {
            return tl::unexpected(DecodeError::Truncated);
        }
        if (!readTlv(datagram[offset], datagram.subspan(offset + tlvHeaderSize, length), fields)) {
            return tl::unexpected(DecodeError::BadTlv);
        }
        offset += tlvHeaderSize + length;
    }
    payload = datagram.subspan(end);
    return ProxyHeader(fields);
}

std::size_t ProxyHeader::encode(std::span<std::uint8_t> out) const
{
    std::copy(signature.begin(), signature.end(), out.begin());
    BigEndianWriter writer(out.subspan(signature.size()));
    writer.number(versionAndCommand, 1);
    writer.number(datagramOverIpv4, 1);
    writer.number(0, 2); // placeholder for the length, which is known at the end
    writer.number(m_fields.source.address(), 4);
    writer.number(m_fields.destination.address(), 4);
    writer.number(m_fields.source.port(), 2);
    writer.number(m_fields.destination.port(), 2);
    if (m_fields.deadline) {
        writer.tlv(DeadlineTlv, *m_fields.deadline, 8);
    }
    if (m_fields.cancelledRequest) {
        writer.tlv(CancellationTlv, *m_fields.cancelledRequest, 4);
    }
    if (m_fields.load) {
        writer.tlv(LoadTlv, static_cast<std::uint64_t>(m_fields.load->inFlight) << 16 | m_fields.load->queued, 4);
    }
    if (m_fields.hops != 0 || m_fields.acceptedByOwner) {
        writer.tlv(HopsTlv, m_fields.hops | (m_fields.acceptedByOwner ? acceptedByOwnerBit : 0U), 1);
    }
    const std::size_t size = signature.size() + writer.size();
    BigEndianWriter(out.subspan(lengthOffset)).number(size - addressOffset, 2);
    return size;
}

Endpoint ProxyHeader::source() const
{
    return m_fields.source;
}

Endpoint ProxyHeader::destination() const
{
    return m_fields.destination;
}

const std::optional<std::uint64_t> &ProxyHeader::deadline() const
{
    return m_fields.deadline;
}

const std::optional<std::uint32_t> &ProxyHeader::cancelledRequest() const
{
    return m_fields.cancelledRequest;
}

const std::optional<LoadReport> &ProxyHeader::load() const
{
    return m_fields.load;
}

std::uint8_t ProxyHeader::hops() const
{
    return m_fields.hops;
}

bool ProxyHeader::acceptedByOwner() const
{
    return m_fields.acceptedByOwner;
}

} // namespace Samphirepitch
