#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

/**
 * Limits of what an instance accepts from discovery. They also hold between instances: a value above them in one entry would make the
 * whole state of an instance unreadable for the others.
 */
namespace Samphirepitch::StreamLimits
{

constexpr std::size_t maxNameSize = 256; /**< bytes of an id or a name */
constexpr std::size_t maxRouteTargets = 64; /**< services of one route */
constexpr std::uint64_t maxSlots = 65535; /**< of one server; far above the number of processor cores of any machine */
constexpr std::chrono::hours maxColdTime { 24 }; /**< during which a server is slow after its start */
constexpr std::chrono::hours maxIdleTimeout { 24 }; /**< after which an idle flow may be dropped */
constexpr std::uint32_t maxPriority = 255; /**< of requests; far above the number of different priorities that an operator needs */
constexpr std::chrono::hours maxTimeLimit { 24 }; /**< within which a client waits for the response to a request */
constexpr double maxColdFlowsPerSecond = 1e9; /**< of one server; far above what any server accepts */

} // namespace Samphirepitch::StreamLimits
