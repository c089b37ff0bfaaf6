#pragma once

#include <cstddef>
#include <cstdint>

/**
 * Upper limits of configuration objects. Decoders enforce them before they allocate memory; ConfigReader and ConfigChecker
 * report values above them.
 */
namespace Samphirepitch::Limits
{

constexpr std::size_t nameSize = 63; /**< bytes of the name of an object */
constexpr std::size_t methodSize = 128; /**< bytes of the name of an RPC method */
constexpr std::size_t changeIdSize = 64; /**< bytes */
constexpr std::size_t authorSize = 128; /**< bytes */

// The largest encoding of a server takes about 160 bytes, so a pool of 4,096 servers stays below 1 MB, the maximum size of a part.
constexpr std::size_t serversPerPool = 4096;
constexpr std::size_t domainsPerPool = 64;
constexpr std::size_t methodsPerPolicy = 256;
constexpr std::size_t objectsPerLeaf = 4096; /**< about 20 at the planned size */

constexpr std::uint32_t weight = 100;
constexpr std::uint32_t slots = 1024;
constexpr std::uint32_t connections = 10'000'000;
constexpr std::uint32_t queueLimit = 100'000;
constexpr std::uint32_t retryBudgetPercent = 100;
constexpr std::uint32_t requestTimeout = 600'000; /**< milliseconds */
// Request owners keep each request id for this time, so a limit of one hour bounds their memory.
constexpr std::uint32_t repeatWindow = 3'600'000; /**< milliseconds */
constexpr std::uint32_t drainTimeout = 604'800'000; /**< milliseconds; 7 days */
constexpr std::uint32_t flowIdleTimeout = 86'400'000; /**< milliseconds; 1 day */

} // namespace Samphirepitch::Limits
