#pragma once

#include "core/clock.h"
#include "core/random.h"
#include "model/configset.h"
#include "model/configtree.h"
#include "objectstore/applyoutcome.h"
#include "objectstore/configloader.h"
#include "objectstore/platform.h"
#include "objectstore/timer.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Samphirepitch
{

/** A configuration to publish. */
struct ApplyRequest {
    ConfigSet set; /**< the complete new configuration */
    std::optional<std::uint64_t> expectedGeneration; /**< if set, the current generation must be this one; 0 if there must be none yet */
    std::string changeId; /**< unique id of the change; 1..64 bytes */
    bool isRetry = false; /**< the change id may have been published by an earlier call, so the history is searched for it first */
    std::string author; /**< user who applies the change; at most 128 bytes */
    TimePoint deadline; /**< calls of the platform are retried until this time */
};

/** Publishes configurations on the platform. A change is accepted by the conditional write of the object "head". */
class Publisher
{
public:
    /** All arguments must outlive the publisher. */
    Publisher(Platform &platform, const Clock &clock, Timer &timer, RandomSource &random);

    /**
     * Publishes the configuration of @p request.
     * @return the outcome; Unknown only if the write of "head" was sent and its result could not be determined, or if the history
     *  could not be searched for a retried change
     */
    asio::awaitable<ApplyOutcome> apply(ApplyRequest request);

    /** Returns up to @p count accepted changes, newest first. @return the changes, or the errors of ConfigLoader */
    asio::awaitable<Result<std::vector<HeadRecord>>> history(std::size_t count, TimePoint deadline);

    /** Returns the accepted change with the given id. @return the change; NotFound if there is none; or the errors of ConfigLoader */
    asio::awaitable<Result<HeadRecord>> findChange(std::string changeId, TimePoint deadline);

private:
    /** The generation that a change replaces. */
    struct Base {
        VersionedHead head;
        std::optional<HeadRecord> record;
    };

    asio::awaitable<Result<Base>> readBase(TimePoint deadline);
    asio::awaitable<std::optional<ApplyOutcome>> findEarlyOutcome(const ApplyRequest &request, const ConfigTree &tree, const Base &base);
    asio::awaitable<Result<void>> writeMissingParts(const ConfigTree &tree, const Base &base, TimePoint deadline);
    asio::awaitable<Result<void>> writePart(ContentName name, const std::string &content, TimePoint deadline);
    asio::awaitable<ApplyOutcome> updateHead(const ApplyRequest &request, const ConfigTree &tree, const Base &base, HeadPointer pointer);
    asio::awaitable<std::optional<ApplyOutcome>> resolveOutcome(
        const ApplyRequest &request, const ConfigTree &tree, VersionedHead base, bool mayHaveTakenEffect);

    Platform &m_platform;
    const Clock &m_clock;
    Timer &m_timer;
    RandomSource &m_random;
    ConfigLoader m_loader;
};

} // namespace Samphirepitch
