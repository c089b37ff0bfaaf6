#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace Samphirepitch
{

/** Limits and timeouts of the services that refer to the policy. */
class Policy
{
public:
    /** The fields of the object, which is immutable after construction. */
    struct Fields {
        std::string name; /**< unique among policies */
        std::string fallback; /**< name of the policy whose idempotent methods are added to those of this one; empty if none */
        std::chrono::milliseconds requestTimeout { 2000 }; /**< time from the arrival of a request to its deadline, 1..600000 ms */
        std::chrono::milliseconds repeatWindow { 10000 }; /**< time for retries with the same request id; requestTimeout..3600000 ms */
        std::uint32_t queueLimit = 256; /**< maximum number of queued requests by instance and service, 0..100000 */
        std::uint32_t retryBudgetPercent = 10; /**< maximum number of retries per 100 requests, 0..100 */
        std::vector<std::string> idempotentMethods; /**< RPC methods that may be executed more than once; sorted */
        std::chrono::milliseconds drainTimeout { 3600000 }; /**< time until the flows of a draining server are moved, 1..604800000 ms */
        std::chrono::milliseconds flowIdleTimeout { 300000 }; /**< time without packets after which a flow has ended, 1..86400000 ms */

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

    /** Compares by value. Copies share their fields, which makes comparing them cheap. */
    friend bool operator==(const Policy &left, const Policy &right);

private:
    std::shared_ptr<const Fields> m_fields;
};

} // namespace Samphirepitch
