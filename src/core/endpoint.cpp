#include "core/endpoint.h"

#include <charconv>

namespace Samphirepitch
{

namespace
{

/** Removes a decimal number from the start of @p text; returns false if there is none or it is above @p limit. */
bool readNumber(std::string_view &text, std::uint32_t limit, std::uint32_t &value)
{
    const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (status != std::errc() || value > limit) {
        return false;
    }
    text.remove_prefix(static_cast<std::size_t>(end - text.data()));
    return true;
}

} // namespace

Result<Endpoint> Endpoint::parse(std::string_view text)
{
    const std::string subject(text.substr(0, 64));
    std::uint32_t address = 0;
    for (int part = 0; part < 4; ++part) {
        std::uint32_t byte = 0;
        if (!readNumber(text, 255, byte) || text.empty() || text.front() != (part < 3 ? '.' : ':')) {
            return failure(ErrorKind::Malformed, subject, "an address must have the form a.b.c.d:port");
        }
        text.remove_prefix(1);
        address = address << 8 | byte;
    }
    std::uint32_t port = 0;
    if (!readNumber(text, 65535, port) || !text.empty() || port == 0) {
        return failure(ErrorKind::Malformed, subject, "the port must be a number from 1 to 65535");
    }
    return Endpoint(address, static_cast<std::uint16_t>(port));
}

std::uint32_t Endpoint::address() const
{
    return m_address;
}

std::uint16_t Endpoint::port() const
{
    return m_port;
}

bool Endpoint::isUnset() const
{
    return m_address == 0 && m_port == 0;
}

std::string Endpoint::toString() const
{
    std::string text;
    for (int shift = 24; shift >= 0; shift -= 8) {
        text += std::to_string(m_address >> shift & 0xff);
        text += shift > 0 ? '.' : ':';
    }
    return text + std::to_string(m_port);
}

} // namespace Samphirepitch
