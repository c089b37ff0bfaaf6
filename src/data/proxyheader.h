#pragma once

#include "core/endpoint.h"

#include <tl/expected.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace Samphirepitch
{

/** Why a datagram was refused. An enum and not an Error, because refusing must not allocate. */
enum class PacketFault {
    Truncated, /**< Shorter than its own lengths say. */
    BadSignature, /**< Not a PROXY protocol version 2 header. */
    UnsupportedFamily, /**< Not a datagram over IPv4. */
    BadTlv, /**< A TLV of this system has a wrong length. */
    BadRpc, /**< The payload is not one complete MessagePack-RPC message. */
    TooDeep, /**< Nesting above the limit. */
};

/** Load that a backend server reports with an answer. */
struct LoadReport {
    std::uint16_t inFlight = 0; /**< requests that run */
    std::uint16_t queued = 0; /**< requests that wait for a slot */

    friend bool operator==(const LoadReport &, const LoadReport &) = default;
};

/**
 * The header before the payload of each datagram between fabric, instances and backend servers: PROXY protocol version 2
 * with family "datagram over IPv4", and the TLVs of this system (docs/design.md, section 3).
 */
class ProxyHeader
{
public:
    static constexpr std::size_t fixedSize = 28; /**< bytes without TLVs */
    static constexpr std::size_t maxSize = 96; /**< bytes with all TLVs of this system */

    /** The values of all fields. */
    struct Fields {
        Endpoint source; /**< caller towards backend servers; service address towards callers */
        Endpoint destination; /**< service address towards backend servers; caller towards callers */
        std::optional<std::uint64_t> deadline; /**< TLV 0xE0: milliseconds since the Unix epoch */
        std::optional<std::uint32_t> cancelledRequest; /**< TLV 0xE1: request id to cancel */
        std::optional<LoadReport> load; /**< TLV 0xE2 */
        std::uint8_t hops = 0; /**< TLV 0xE8, bits 0 to 6: how often an instance forwarded it to another; at most 127 */
        bool admitted = false; /**< TLV 0xE8, bit 7: the owner of the request remembers it, and the receiver is to send it */

        friend bool operator==(const Fields &, const Fields &) = default;
    };

    explicit ProxyHeader(Fields fields);

    /**
     * Reads the header of a datagram; TLVs of other systems are skipped.
     * @param datagram the whole datagram
     * @param payload is set to the bytes behind the header
     */
    static tl::expected<ProxyHeader, PacketFault> decode(std::span<const std::uint8_t> datagram, std::span<const std::uint8_t> &payload);

    /**
     * Writes the header.
     * @param out at least maxSize bytes
     * @return the number of bytes written
     */
    std::size_t encode(std::span<std::uint8_t> out) const;

    Endpoint source() const;
    Endpoint destination() const;
    const std::optional<std::uint64_t> &deadline() const;
    const std::optional<std::uint32_t> &cancelledRequest() const;
    const std::optional<LoadReport> &load() const;
    std::uint8_t hops() const;
    bool admitted() const;

    friend bool operator==(const ProxyHeader &, const ProxyHeader &) = default;

private:
    Fields m_fields;
};

} // namespace Samphirepitch
