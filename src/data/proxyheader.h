#pragma once

#include "core/endpoint.h"

#include <tl/expected.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace Samphirepitch
{

/** Why a datagram could not be decoded. An enum instead of an Error, because the data path must not allocate for invalid datagrams. */
enum class DecodeError {
    Truncated, /**< The datagram is shorter than its length fields say. */
    BadSignature, /**< The datagram does not start with a PROXY protocol version 2 header. */
    UnsupportedFamily, /**< The address family and transport are not "datagram over IPv4". */
    BadTlv, /**< A TLV of this system has the wrong length. */
    BadRpc, /**< The payload is not exactly one complete MessagePack-RPC message. */
    TooDeep, /**< The payload nests arrays and maps beyond the limit. */
};

/** Load that a backend server reports, usually with a response. */
struct LoadReport {
    std::uint16_t inFlight = 0; /**< requests that the server runs now */
    std::uint16_t queued = 0; /**< requests that wait for a slot of the server */

    friend bool operator==(const LoadReport &, const LoadReport &) = default;
};

/**
 * The header that precedes the payload of each datagram between fabric, instances and backend servers: PROXY protocol version 2 with
 * the family "datagram over IPv4", and the TLVs of this system (docs/design.md, section 3).
 */
class ProxyHeader
{
public:
    static constexpr std::size_t fixedSize = 28; /**< size without TLVs, in bytes */
    static constexpr std::size_t maxSize = 96; /**< upper limit of the size with all TLVs of this system, in bytes */

    /** The values of all fields. */
    struct Fields {
        Endpoint source; /**< caller in datagrams to backend servers; service address in datagrams to callers */
        Endpoint destination; /**< service address in datagrams to backend servers; caller in datagrams to callers */
        std::optional<std::uint64_t> deadline; /**< TLV 0xE0: deadline of the request, in milliseconds since the Unix epoch */
        std::optional<std::uint32_t> cancelledRequest; /**< TLV 0xE1: id of the request to cancel */
        std::optional<LoadReport> load; /**< TLV 0xE2: load of the sending backend server */
        std::uint8_t hops = 0; /**< TLV 0xE8, bits 0 to 6: how often instances forwarded the datagram; at most 127 */
        bool acceptedByOwner = false; /**< TLV 0xE8, bit 7: the owner has recorded the request, and the receiving instance sends it */

        friend bool operator==(const Fields &, const Fields &) = default;
    };

    explicit ProxyHeader(Fields fields);

    /**
     * Decodes the header of a datagram. Unknown TLV types are skipped.
     * @param datagram the whole datagram
     * @param payload set to the bytes after the header; left unchanged on failure
     * @return the header; or Truncated if a length exceeds the datagram, BadSignature or UnsupportedFamily if the fixed part is not
     *         supported, BadTlv if a TLV of this system has the wrong length
     */
    static tl::expected<ProxyHeader, DecodeError> decode(std::span<const std::uint8_t> datagram, std::span<const std::uint8_t> &payload);

    /**
     * Encodes the header.
     * @param out output buffer of at least maxSize bytes
     * @return the number of bytes written
     */
    std::size_t encode(std::span<std::uint8_t> out) const;

    Endpoint source() const;
    Endpoint destination() const;
    const std::optional<std::uint64_t> &deadline() const;
    const std::optional<std::uint32_t> &cancelledRequest() const;
    const std::optional<LoadReport> &load() const;
    std::uint8_t hops() const;
    bool acceptedByOwner() const;

    friend bool operator==(const ProxyHeader &, const ProxyHeader &) = default;

private:
    Fields m_fields;
};

} // namespace Samphirepitch
