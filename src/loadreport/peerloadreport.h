#pragma once

#include "core/clock.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Samphirepitch
{

/** The load of one service as one instance sees it. */
struct ServiceLoad {
    std::uint32_t service = 0; /**< PeerLoadReport::hashOf() the name */
    double inFlight = 0; /**< requests of the instance that are at the servers, averaged */
    double requestsPerSecond = 0; /**< requests that arrive */
    double held = 0; /**< requests that wait in the instance */
    double responseMs = 0; /**< average response time; 0 if unknown */
    double earlyShare = 0; /**< share of the responses that came too early to be more than a rejection, from 0 to 1 */

    friend bool operator==(const ServiceLoad &, const ServiceLoad &) = default;
};

/** The recent response times of one server as one instance sees them. */
struct ServerLoad {
    std::uint16_t server = 0; /**< PeerLoadReport::hashOf() the token */
    std::uint32_t responses = 0; /**< number of responses and overdue requests */
    double responseMs = 0; /**< geometric mean of their times, which single long requests change little */

    friend bool operator==(const ServerLoad &, const ServerLoad &) = default;
};

/**
 * What an instance tells others about the load that it sees. The encoded form is a byte string with rounded and bounded figures: a header
 * of 2 bytes, 13 bytes for each service and 3 bytes for each server.
 */
struct PeerLoadReport {
    static constexpr std::size_t maxSize = 200; /**< bytes of the encoded form */
    static constexpr std::size_t maxServices = 4;

    std::vector<ServiceLoad> services; /**< at most maxServices */
    std::vector<ServerLoad> servers; /**< at most serverCapacity() */
    TimePoint madeAt {};

    /** Returns the hash by which a service is named in reports. */
    static std::uint32_t hashOf(const std::string &service);

    /**
     * Returns the hash by which a server is named in reports. With 600 servers, about three pairs share a hash; such servers are compared
     * by their common times.
     */
    static std::uint16_t hashOf(std::uint32_t token);

    /** Returns how many servers fit beside a number of services. */
    static std::size_t serverCapacity(std::size_t services);

    bool isEmpty() const;

    /** Returns the encoded form, at most maxSize bytes; empty if the report is. What doesn't fit is left out. */
    std::string encode() const;

    /**
     * Decodes a report. An unknown format, or bytes that are missing, give an empty report, because a report is never worth the rest of its
     * message.
     */
    static PeerLoadReport decode(std::string_view bytes, TimePoint madeAt);

    friend bool operator==(const PeerLoadReport &, const PeerLoadReport &) = default;
};

} // namespace Samphirepitch
