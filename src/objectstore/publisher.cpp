#include "objectstore/publisher.h"

#include "model/configchecker.h"
#include "model/limits.h"
#include "model/partmap.h"
#include "objectstore/retryschedule.h"

#include <set>
#include <utility>

namespace Samphirepitch
{

namespace
{

bool hadNoEffect(ErrorKind kind)
{
    return kind == ErrorKind::Unavailable || kind == ErrorKind::RateLimited || kind == ErrorKind::DeadlineExceeded;
}

ApplyOutcome outcomeOf(ApplyStatus status, const ApplyRequest &request)
{
    ApplyOutcome outcome;
    outcome.status = status;
    outcome.changeId = request.changeId;
    return outcome;
}

ApplyOutcome failed(ApplyStatus status, const ApplyRequest &request, Error error)
{
    ApplyOutcome outcome = outcomeOf(status, request);
    outcome.error = std::move(error);
    return outcome;
}

ApplyOutcome succeeded(ApplyStatus status, const ApplyRequest &request, std::uint64_t generation)
{
    ApplyOutcome outcome = outcomeOf(status, request);
    outcome.generation = generation;
    return outcome;
}

/** Returns the outcome of a change if @p record is the one that was accepted after the base of the change. */
ApplyOutcome outcomeFromRecord(const ApplyRequest &request, const ConfigTree &tree, const HeadRecord &record)
{
    if (record.changeId() != request.changeId) {
        ApplyOutcome outcome = outcomeOf(ApplyStatus::Conflict, request);
        outcome.winner = record;
        return outcome;
    }
    if (record.indexes() != tree.indexes()) {
        return failed(ApplyStatus::NotAccepted, request,
            Error(ErrorKind::InvalidArgument, "change " + request.changeId,
                "generation " + std::to_string(record.generation()) + " has this change id and other objects; use a new id"));
    }
    return succeeded(ApplyStatus::Accepted, request, record.generation());
}

std::optional<Error> checkRequest(const ApplyRequest &request, const ConfigTree &tree)
{
    if (request.changeId.empty() || request.changeId.size() > Limits::changeIdSize) {
        return Error(ErrorKind::InvalidArgument, "change id", "use 1.." + std::to_string(Limits::changeIdSize) + " bytes");
    }
    if (request.author.size() > Limits::authorSize) {
        return Error(ErrorKind::InvalidArgument, "author", "use at most " + std::to_string(Limits::authorSize) + " bytes");
    }
    for (const auto &[name, content] : tree.parts()) {
        if (content.size() > ConfigTree::maxPartSize) {
            return Error(ErrorKind::TooLarge, ConfigLoader::partKey(name),
                "the part has " + std::to_string(content.size()) + " bytes; the platform accepts up to "
                    + std::to_string(ConfigTree::maxPartSize));
        }
    }
    return std::nullopt;
}

} // namespace

Publisher::Publisher(Platform &platform, const Clock &clock, Timer &timer, RandomSource &random)
    : m_platform(platform)
    , m_clock(clock)
    , m_timer(timer)
    , m_random(random)
    , m_loader(platform, clock, timer, random)
{
}

asio::awaitable<ApplyOutcome> Publisher::apply(ApplyRequest request)
{
    auto findings = ConfigChecker::check(request.set);
    const ConfigTree tree = ConfigTree::of(request.set);
    auto rejection = checkRequest(request, tree);
    if (!rejection && hasErrors(findings)) {
        rejection = Error(ErrorKind::Rejected, "configuration", "the configuration has errors; the findings name what has to be changed");
    }
    if (rejection) {
        ApplyOutcome outcome = failed(ApplyStatus::NotAccepted, request, *rejection);
        outcome.findings = std::move(findings);
        co_return outcome;
    }
    const auto base = co_await readBase(request.deadline);
    if (!base) {
        co_return failed(ApplyStatus::NotAccepted, request, base.error());
    }
    auto outcome = co_await findEarlyOutcome(request, tree, *base);
    if (!outcome) {
        HeadRecord::Fields fields;
        fields.generation = base->head.pointer.generation + 1;
        fields.indexes = tree.indexes();
        fields.previous = base->head.pointer.record;
        fields.changeId = request.changeId;
        fields.author = request.author;
        fields.acceptedAt = m_clock.wallNow();
        const std::string record = HeadRecord(fields).encode();
        HeadPointer pointer;
        pointer.generation = fields.generation;
        pointer.record = ContentName::of(record);
        auto written = co_await writeMissingParts(tree, *base, request.deadline);
        if (written) {
            written = co_await writePart(pointer.record, record, request.deadline);
        }
        if (!written) {
            co_return failed(ApplyStatus::NotAccepted, request, written.error());
        }
        outcome = co_await updateHead(request, tree, *base, pointer);
    }
    outcome->findings = std::move(findings);
    co_return std::move(*outcome);
}

asio::awaitable<Result<Publisher::Base>> Publisher::readBase(TimePoint deadline)
{
    Base base;
    const auto head = co_await m_loader.readHead(deadline);
    if (!head) {
        co_return tl::unexpected(head.error());
    }
    base.head = *head;
    if (base.head.version != Platform::mustNotExist) {
        auto record = co_await m_loader.readRecord(base.head.pointer.record, deadline);
        if (!record) {
            co_return tl::unexpected(record.error());
        }
        base.record = std::move(*record);
    }
    co_return base;
}

/** Returns the outcome if it is known before any write: a retried change, a conflict or unchanged objects. */
asio::awaitable<std::optional<ApplyOutcome>> Publisher::findEarlyOutcome(
    const ApplyRequest &request, const ConfigTree &tree, const Base &base)
{
    if (request.isRetry) {
        const auto earlier = co_await m_loader.findChange(request.changeId, request.deadline);
        if (earlier) {
            co_return outcomeFromRecord(request, tree, *earlier);
        }
        if (earlier.error().kind() != ErrorKind::NotFound) {
            // Publishing a change a second time could undo changes that were accepted after it.
            co_return failed(ApplyStatus::Unknown, request, earlier.error());
        }
    }
    const std::uint64_t generation = base.head.pointer.generation;
    if (request.expectedGeneration && *request.expectedGeneration != generation) {
        const auto winner = co_await m_loader.findRecord(base.head.pointer, *request.expectedGeneration + 1, request.deadline);
        if (winner) {
            co_return outcomeFromRecord(request, tree, *winner);
        }
        co_return failed(ApplyStatus::NotAccepted, request,
            Error(ErrorKind::VersionConflict, "generation " + std::to_string(*request.expectedGeneration),
                "the current generation on the platform is " + std::to_string(generation)));
    }
    if (base.record && base.record->indexes() == tree.indexes()) {
        co_return succeeded(ApplyStatus::Unchanged, request, generation);
    }
    co_return std::nullopt;
}

/** Writes the parts that the base does not contain. The index parts of the base that differ are read to find its leaves. */
asio::awaitable<Result<void>> Publisher::writeMissingParts(const ConfigTree &tree, const Base &base, TimePoint deadline)
{
    std::set<ContentName> existing;
    if (base.record) {
        PartMap indexes;
        for (std::size_t index = 0; index < HeadRecord::indexCount; ++index) {
            const ContentName name = base.record->indexes()[index];
            if (name.isUnset()) {
                continue;
            }
            existing.insert(name);
            if (const auto known = tree.parts().find(name); known != tree.parts().end()) {
                indexes.add(name, known->second);
                continue;
            }
            auto content = co_await m_loader.readPart(name, deadline);
            if (!content) {
                co_return tl::unexpected(content.error());
            }
            indexes.add(name, std::move(*content));
        }
        const auto leaves = ConfigTree::missingParts(*base.record, indexes);
        if (!leaves) {
            co_return tl::unexpected(leaves.error());
        }
        existing.insert(leaves->begin(), leaves->end());
    }
    for (const auto &[name, content] : tree.parts()) {
        if (existing.contains(name)) {
            continue;
        }
        auto written = co_await writePart(name, content, deadline);
        if (!written) {
            co_return written;
        }
    }
    co_return Result<void>();
}

asio::awaitable<Result<void>> Publisher::writePart(ContentName name, const std::string &content, TimePoint deadline)
{
    RetrySchedule schedule(m_clock, m_timer, m_random, deadline);
    while (true) {
        const auto version
            = co_await m_platform.write(ConfigLoader::partKey(name), content, Platform::mustNotExist, schedule.attemptDeadline());
        // An existing part has the same content, since its name is the hash of the content.
        if (version || version.error().kind() == ErrorKind::VersionConflict) {
            co_return Result<void>();
        }
        const ErrorKind kind = version.error().kind();
        const bool mayRetry = hadNoEffect(kind) || kind == ErrorKind::OutcomeUnknown;
        const bool retry = mayRetry ? co_await schedule.wait() : false;
        if (!retry) {
            co_return tl::unexpected(version.error());
        }
    }
}

asio::awaitable<ApplyOutcome> Publisher::updateHead(
    const ApplyRequest &request, const ConfigTree &tree, const Base &base, HeadPointer pointer)
{
    RetrySchedule schedule(m_clock, m_timer, m_random, request.deadline);
    const std::string body = pointer.encode();
    bool mayHaveTakenEffect = false; // whether a write without a response has taken effect or still may
    while (true) {
        const auto version = co_await m_platform.write("head", body, base.head.version, schedule.attemptDeadline());
        if (version) {
            co_return succeeded(ApplyStatus::Accepted, request, pointer.generation);
        }
        const ErrorKind kind = version.error().kind();
        if (kind == ErrorKind::OutcomeUnknown || kind == ErrorKind::VersionConflict) {
            mayHaveTakenEffect = mayHaveTakenEffect || kind == ErrorKind::OutcomeUnknown;
            auto resolved = co_await resolveOutcome(request, tree, base.head, mayHaveTakenEffect);
            if (resolved) {
                co_return std::move(*resolved);
            }
            // The head is unchanged. Sending the write again is safe: only one of both can find the expected version.
        } else if (!hadNoEffect(kind)) {
            co_return failed(mayHaveTakenEffect ? ApplyStatus::Unknown : ApplyStatus::NotAccepted, request, version.error());
        }
        const bool retry = co_await schedule.wait();
        if (!retry) {
            co_return failed(mayHaveTakenEffect ? ApplyStatus::Unknown : ApplyStatus::NotAccepted, request, version.error());
        }
    }
}

/** Determines the outcome of the write of "head" from the change accepted after @p base; nothing if the head is unchanged. */
asio::awaitable<std::optional<ApplyOutcome>> Publisher::resolveOutcome(
    const ApplyRequest &request, const ConfigTree &tree, VersionedHead base, bool mayHaveTakenEffect)
{
    const ApplyStatus unresolved = mayHaveTakenEffect ? ApplyStatus::Unknown : ApplyStatus::NotAccepted;
    const auto head = co_await m_loader.readHead(request.deadline);
    if (!head) {
        co_return failed(unresolved, request, head.error());
    }
    if (head->version == base.version) {
        co_return std::nullopt;
    }
    const auto record = co_await m_loader.findRecord(head->pointer, base.pointer.generation + 1, request.deadline);
    if (!record) {
        co_return failed(unresolved, request, record.error());
    }
    co_return outcomeFromRecord(request, tree, *record);
}

asio::awaitable<Result<std::vector<HeadRecord>>> Publisher::history(std::size_t count, TimePoint deadline)
{
    return m_loader.history(count, deadline);
}

asio::awaitable<Result<HeadRecord>> Publisher::findChange(std::string changeId, TimePoint deadline)
{
    return m_loader.findChange(std::move(changeId), deadline);
}

} // namespace Samphirepitch
