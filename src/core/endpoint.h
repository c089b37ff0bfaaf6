#pragma once

#include "core/error.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace Samphirepitch
{

/** An IPv4 address and a port, both in host byte order. */
class Endpoint
{
public:
    /** Creates the unset endpoint 0.0.0.0:0. */
    Endpoint() = default;

    /**
     * @param address IPv4 address in host byte order
     * @param port TCP or UDP port in host byte order
     */
    constexpr Endpoint(std::uint32_t address, std::uint16_t port)
        : m_address(address)
        , m_port(port)
    {
    }

    /**
     * Parses an endpoint.
     * @param text "a.b.c.d:port" with a port from 1 to 65535
     * @return the endpoint; Malformed if the text has another form or a number is out of range
     */
    static Result<Endpoint> parse(std::string_view text);

    std::uint32_t address() const;
    std::uint16_t port() const;

    /** Returns whether address and port are both zero. */
    bool isUnset() const;

    /** Returns "a.b.c.d:port". */
    std::string toString() const;

    // clang-tidy 14 reports the literal 0 that the compiler inserts when it rewrites a < b to (a <=> b) < 0.
    friend auto operator<=>(const Endpoint &, const Endpoint &) = default; // NOLINT(modernize-use-nullptr)

private:
    std::uint32_t m_address = 0;
    std::uint16_t m_port = 0;
};

} // namespace Samphirepitch
