#pragma once

#include "peer/domainstatus.h"
#include "peer/exponentialbackoff.h"
#include "peer/platformcontext.h"

#include <asio/awaitable.hpp>

#include <cstdint>

namespace Samphirepitch
{

/** Task that writes the platform object "status/<failure domain>" while this instance is responsible for it: on change and every 10 s. */
class StatusWriter
{
public:
    static constexpr std::chrono::milliseconds minInterval { 1000 }; /**< between two writes */
    static constexpr std::chrono::milliseconds maxInterval { 10000 }; /**< between two writes of an unchanged status */

    explicit StatusWriter(const PlatformContext &context);

    /** Runs until it is cancelled. */
    asio::awaitable<void> run();

private:
    asio::awaitable<std::chrono::milliseconds> step();
    asio::awaitable<bool> write(DomainStatus status);
    bool isDue(const DomainStatus &status, TimePoint now) const;

    PlatformContext m_context;
    ExponentialBackoff m_backoff;
    DomainStatus m_written;
    TimePoint m_writtenAt {};
    std::uint64_t m_version = 0;
};

} // namespace Samphirepitch
