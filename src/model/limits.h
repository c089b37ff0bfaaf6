#pragma once

#include <cstddef>
#include <cstdint>

/** Limits of operator objects. Decoders check them before they take memory; ConfigReader and ConfigChecker report them. */
namespace Samphirepitch::Limits
{

constexpr std::size_t nameSize = 63; /**< bytes of a name */
constexpr std::size_t methodSize = 128; /**< bytes of the name of an RPC method */
constexpr std::size_t changeIdSize = 64; /**< bytes */
constexpr std::size_t authorSize = 128; /**< bytes */

// 4,096 servers of the largest encoding (about 160 bytes) stay below the 1 MB of a part.
constexpr std::size_t serversPerPool = 4096;
constexpr std::size_t domainsPerPool = 64;
constexpr std::size_t methodsPerPolicy = 256;
constexpr std::size_t objectsPerLeaf = 4096; /**< the planned size has about 20 */

constexpr std::uint32_t weight = 100;
constexpr std::uint32_t slots = 1024;
constexpr std::uint32_t connections = 10'000'000;
constexpr std::uint32_t queueLimit = 100'000;
constexpr std::uint32_t retryBudgetPercent = 100;
constexpr std::uint32_t requestTimeout = 600'000; /**< milliseconds */
// Owners remember each request id for this time, so an hour bounds their memory.
constexpr std::uint32_t repeatWindow = 3'600'000; /**< milliseconds */
constexpr std::uint32_t drainTimeout = 604'800'000; /**< milliseconds; 7 days */
constexpr std::uint32_t flowIdleTimeout = 86'400'000; /**< milliseconds; 1 day */

} // namespace Samphirepitch::Limits
