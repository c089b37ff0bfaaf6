#pragma once

#include "peer/dialbackoff.h"
#include "peer/platformcontext.h"

#include <asio/awaitable.hpp>

namespace Samphirepitch
{

/** The task that reads the platform's instance list while the instance has the duty to watch. */
class ListReader
{
public:
    explicit ListReader(const PlatformContext &context);

    /** Runs until it is cancelled. */
    asio::awaitable<void> run();

private:
    asio::awaitable<std::chrono::milliseconds> step();

    PlatformContext m_context;
    DialBackoff m_backoff;
    TimePoint m_next {};
};

} // namespace Samphirepitch
