#include "loadreport/peerloadreport.h"

#include "core/hash.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace Samphirepitch
{

namespace
{

constexpr std::uint8_t formatVersion = 1; // the first byte of a report
constexpr std::size_t headerSize = 2; // format and number of services
constexpr std::size_t serviceSize = 13;
constexpr std::size_t serverSize = 3;

constexpr double tenths = 10; // figures of a service are sent in tenths
constexpr double shareSteps = 255;

// The time of a server is sent in 6 bits with a step of 12 %, from 1 ms to 1.4 s: the times of equal requests differ by more than a step.
constexpr double stepsPerOctave = 6;
constexpr double maxTimeStep = 63;
constexpr std::uint32_t maxResponses = 4; // sent in 2 bits; an instance rarely sees more responses of one server

void appendNumber(std::string &bytes, std::uint32_t value, std::size_t size)
{
    for (std::size_t index = 0; index < size; ++index) {
        bytes.push_back(static_cast<char>(value >> (8 * index) & 0xff));
    }
}

/** Appends a figure as 2 bytes, bounded. */
void appendFigure(std::string &bytes, double value, double factor)
{
    constexpr double largest = std::numeric_limits<std::uint16_t>::max();
    // The comparison is false for a value that is not a number.
    const double bounded = value > 0 ? std::min(std::round(value * factor), largest) : 0;
    appendNumber(bytes, static_cast<std::uint32_t>(bounded), 2);
}

/** Reads little-endian numbers. The caller checks the size beforehand. */
class NumberReader
{
public:
    explicit NumberReader(std::string_view bytes)
        : m_bytes(bytes)
    {
    }

    std::size_t remaining() const
    {
        return m_bytes.size();
    }

    std::uint32_t number(std::size_t size)
    {
        std::uint32_t value = 0;
        for (std::size_t index = 0; index < size; ++index) {
            value |= static_cast<std::uint32_t>(static_cast<unsigned char>(m_bytes[index])) << (8 * index);
        }
        m_bytes.remove_prefix(size);
        return value;
    }

private:
    std::string_view m_bytes;
};

std::uint32_t encodeTimes(const ServerLoad &server)
{
    const double step = server.responseMs > 1 ? std::min(std::round(std::log2(server.responseMs) * stepsPerOctave), maxTimeStep) : 0;
    const std::uint32_t responses = std::clamp<std::uint32_t>(server.responses, 1, maxResponses);
    return static_cast<std::uint32_t>(step) | (responses - 1) << 6;
}

} // namespace

std::uint32_t PeerLoadReport::hashOf(const std::string &service)
{
    return static_cast<std::uint32_t>(hash64(service));
}

std::uint16_t PeerLoadReport::hashOf(std::uint32_t token)
{
    return static_cast<std::uint16_t>(mix64(token, 0));
}

std::size_t PeerLoadReport::serverCapacity(std::size_t services)
{
    return (maxSize - headerSize - std::min(services, maxServices) * serviceSize) / serverSize;
}

bool PeerLoadReport::isEmpty() const
{
    return services.empty() && servers.empty();
}

std::string PeerLoadReport::encode() const
{
    std::string bytes;
    if (isEmpty()) {
        return bytes;
    }
    const std::size_t serviceCount = std::min(services.size(), maxServices);
    appendNumber(bytes, formatVersion, 1);
    appendNumber(bytes, static_cast<std::uint32_t>(serviceCount), 1);
    for (std::size_t index = 0; index < serviceCount; ++index) {
        const ServiceLoad &service = services[index];
        appendNumber(bytes, service.service, 4);
        appendFigure(bytes, service.inFlight, tenths);
        appendFigure(bytes, service.requestsPerSecond, tenths);
        appendFigure(bytes, service.held, 1);
        appendFigure(bytes, service.responseMs, tenths);
        appendNumber(bytes, static_cast<std::uint32_t>(std::lround(std::clamp(service.earlyShare, 0.0, 1.0) * shareSteps)), 1);
    }
    const std::size_t serverCount = std::min(servers.size(), serverCapacity(serviceCount));
    for (std::size_t index = 0; index < serverCount; ++index) {
        appendNumber(bytes, servers[index].server, 2);
        appendNumber(bytes, encodeTimes(servers[index]), 1);
    }
    return bytes;
}

PeerLoadReport PeerLoadReport::decode(std::string_view bytes, TimePoint madeAt)
{
    PeerLoadReport report { .madeAt = madeAt };
    if (bytes.size() < headerSize || bytes.size() > maxSize) {
        return report;
    }
    NumberReader reader(bytes);
    if (reader.number(1) != formatVersion) {
        return report;
    }
    const std::size_t serviceCount = reader.number(1);
    const std::size_t services = serviceCount * serviceSize;
    if (serviceCount > maxServices || reader.remaining() < services || (reader.remaining() - services) % serverSize != 0) {
        return report;
    }
    for (std::size_t index = 0; index < serviceCount; ++index) {
        ServiceLoad &service = report.services.emplace_back();
        service.service = reader.number(4);
        service.inFlight = reader.number(2) / tenths;
        service.requestsPerSecond = reader.number(2) / tenths;
        service.held = reader.number(2);
        service.responseMs = reader.number(2) / tenths;
        service.earlyShare = reader.number(1) / shareSteps;
    }
    while (reader.remaining() > 0) {
        ServerLoad &server = report.servers.emplace_back();
        server.server = static_cast<std::uint16_t>(reader.number(2));
        const std::uint32_t times = reader.number(1);
        server.responses = (times >> 6) + 1;
        server.responseMs = std::exp2((times & 0x3f) / stepsPerOctave);
    }
    return report;
}

} // namespace Samphirepitch
