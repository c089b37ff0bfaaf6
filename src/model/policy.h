#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace Samphirepitch
{

/** Limits and deadlines that services refer to. */
class Policy
{
public:
    /** The values of all fields; the object never changes after construction. */
    struct Fields {
        std::string name; /**< unique among policies */
        std::string fallback; /**< name of the policy whose idempotent methods are added to this one; empty if none */
        std::chrono::milliseconds requestTimeout { 2000 }; /**< becomes the deadline of a request when it arrives, 1..600000 */
        std::chrono::milliseconds repeatWindow { 10000 }; /**< time in which a caller may repeat a request id, at least requestTimeout */
        std::uint32_t queueLimit = 256; /**< requests that wait at an instance for a service, 0..100000 */
        std::uint32_t retryBudgetPercent = 10; /**< retries for each 100 requests, 0..100 */
        std::vector<std::string> idempotentMethods; /**< RPC methods that may run more than once; sorted */
        std::chrono::milliseconds drainTimeout { 3600000 }; /**< flows of a draining server are placed anew after this time */
        std::chrono::milliseconds flowIdleTimeout { 300000 }; /**< a flow without packets for this time has ended */

        friend bool operator==(const Fields &, const Fields &) = default;
    };

    explicit Policy(Fields fields);

    const std::string &name() const;
    const std::string &fallback() const;
    std::chrono::milliseconds requestTimeout() const;
    std::chrono::milliseconds repeatWindow() const;
    std::uint32_t queueLimit() const;
    std::uint32_t retryBudgetPercent() const;
    const std::vector<std::string> &idempotentMethods() const;
    std::chrono::milliseconds drainTimeout() const;
    std::chrono::milliseconds flowIdleTimeout() const;

    /** Compares by value; copies of one object share their fields, so that comparing them is cheap. */
    friend bool operator==(const Policy &left, const Policy &right);

private:
    std::shared_ptr<const Fields> m_fields;
};

} // namespace Samphirepitch
