#pragma once

#include "control/commandcontext.h"
#include "control/statussummary.h"

#include <asio/awaitable.hpp>

#include <cstdint>

namespace Samphirepitch
{

/** Reads from the platform or from an instance where a generation is in force. */
class StatusReader
{
public:
    /** @param context must outlive this object; read() and waitUntilInForce() need its platform */
    explicit StatusReader(CommandContext &context);

    /** Reads from the platform where @p generation is in force. Retries until the deadline of the context. */
    asio::awaitable<Result<StatusSummary>> read(std::uint64_t generation);

    /**
     * Reads the status from an instance, for use during an outage of the platform.
     * @param instance peer address of the instance
     * @return where the highest generation that the instance knows of is in force; the error if the request failed
     */
    asio::awaitable<Result<StatusSummary>> readFromInstance(Endpoint instance);

    /**
     * Polls until @p generation is in force everywhere or the deadline of the context is reached.
     * @return the last summary that could be read; the error if the first read failed
     */
    asio::awaitable<Result<StatusSummary>> waitUntilInForce(std::uint64_t generation);

private:
    CommandContext &m_context;
};

} // namespace Samphirepitch
