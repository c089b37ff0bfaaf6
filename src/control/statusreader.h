#pragma once

#include "control/commandcontext.h"
#include "control/statussummary.h"

#include <asio/awaitable.hpp>

#include <cstdint>

namespace Samphirepitch
{

/** Reads where a generation is in force, from the platform or from an instance. */
class StatusReader
{
public:
    /** @p context outlives the reader and has a platform, which read() and waitUntilInForce() use. */
    explicit StatusReader(CommandContext &context);

    /** Returns where @p generation is in force; retries until the deadline of the context. */
    asio::awaitable<Result<StatusSummary>> read(std::uint64_t generation);

    /**
     * Asks an instance in place of the platform, for an outage of the platform.
     * @return where the highest generation that the instance knows is in force
     */
    asio::awaitable<Result<StatusSummary>> readFromInstance(Endpoint instance);

    /**
     * Reads again and again until @p generation is in force everywhere or the deadline of the context comes.
     * @return the last summary that could be read, or the error if there was none
     */
    asio::awaitable<Result<StatusSummary>> waitUntilInForce(std::uint64_t generation);

private:
    CommandContext &m_context;
};

} // namespace Samphirepitch
