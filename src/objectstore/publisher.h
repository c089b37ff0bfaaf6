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

/** A change to publish. */
struct ApplyRequest {
    ConfigSet set; /**< the whole new set */
    std::optional<std::uint64_t> expectedGeneration; /**< the change is only valid on top of this generation; 0 for none yet */
    std::string changeId; /**< unique; 1..64 bytes */
    bool isRetry = false; /**< the change id was used in an earlier call, so history is searched for it first */
    std::string author; /**< at most 128 bytes */
    TimePoint deadline; /**< the platform is retried until then */
};

/** Publishes configurations to the platform. A change is accepted when the conditional update of "head" takes effect. */
class Publisher
{
public:
    /** All arguments outlive the object. */
    Publisher(Platform &platform, const Clock &clock, Timer &timer, RandomSource &random);

    /** Publishes the set of @p request; reports Unknown only if the update of "head" was sent and could not be resolved. */
    asio::awaitable<ApplyOutcome> apply(ApplyRequest request);

    /** Returns the newest @p count accepted changes, newest first. */
    asio::awaitable<Result<std::vector<HeadRecord>>> history(std::size_t count, TimePoint deadline);

    /** Returns the accepted change that carries @p changeId. @return NotFound if there is none */
    asio::awaitable<Result<HeadRecord>> findChange(std::string changeId, TimePoint deadline);

private:
    /** The generation that a change is based on. */
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
