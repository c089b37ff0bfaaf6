#pragma once

#include "peer/exponentialbackoff.h"
#include "peer/platformcontext.h"

#include <asio/awaitable.hpp>

namespace Samphirepitch
{

/** Task that reads the platform's instance list while this instance is responsible for watching the platform. */
class InstanceListReader
{
public:
    explicit InstanceListReader(const PlatformContext &context);

    /** Runs until it is cancelled. */
    asio::awaitable<void> run();

private:
    asio::awaitable<std::chrono::milliseconds> step();

    PlatformContext m_context;
    ExponentialBackoff m_backoff;
    TimePoint m_next {}; // earliest time of the next read
};

} // namespace Samphirepitch
