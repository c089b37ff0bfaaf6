#include "peer/headwatcher.h"

#include "core/eventsink.h"
#include "core/random.h"
#include "model/configtree.h"
#include "peer/configdistributor.h"
#include "peer/configstore.h"
#include "peer/platformtaskhandler.h"

#include <asio/steady_timer.hpp>
#include <asio/this_coro.hpp>
#include <asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace Samphirepitch
{

namespace
{

const std::string headKey = "head";

std::string partKey(const ContentName &name)
{
    return "parts/" + name.toHex();
}

} // namespace

HeadWatcher::HeadWatcher(const PlatformContext &context, ConfigDistributor &distributor, ConfigStore &store)
    : m_context(context)
    , m_distributor(distributor)
    , m_store(store)
    , m_backoff(context.random)
{
}

asio::awaitable<void> HeadWatcher::run()
{
    for (;;) {
        if (!m_context.handler.watchesPlatform(m_context.clock.now())) {
            m_handledVersion = 0;
            co_await pause(PlatformContext::pollInterval);
            continue;
        }
        Result<PlatformObject> object = co_await nextHead();
        if (object) {
            reportAnswer();
            m_backoff.reset();
            co_await handleHead(std::move(*object));
        } else if (object.error().kind() == ErrorKind::NotFound) {
            reportAnswer();
            // A named object, because GCC 12 destroys a braced temporary in a co_await expression twice.
            PlatformObject absent { headKey, {}, Platform::mustNotExist };
            co_await handleHead(std::move(absent));
            co_await pause(m_backoff.nextDelay());
        } else if (object.error().kind() == ErrorKind::DeadlineExceeded && m_handledVersion != 0) {
            reportAnswer(); // the watch ended without a change
            m_backoff.reset();
        } else {
            m_handledVersion = 0;
            co_await pause(m_backoff.nextDelay());
        }
    }
}

std::uint64_t HeadWatcher::restoredCount() const
{
    return m_restoredCount;
}

asio::awaitable<Result<PlatformObject>> HeadWatcher::nextHead()
{
    if (m_handledVersion == 0) {
        return m_context.platform.read(headKey, callDeadline());
    }
    return m_context.platform.watch(headKey, m_handledVersion, m_context.clock.now() + watchTimeout);
}

asio::awaitable<void> HeadWatcher::handleHead(PlatformObject object)
{
    HeadPointer head;
    if (object.version != Platform::mustNotExist) {
        const Result<HeadPointer> decoded = HeadPointer::decode(object.body);
        if (!decoded) {
            m_context.events.record(EventSeverity::Error, "platform_head_malformed", { { "error", decoded.error().describe() } });
            m_handledVersion = object.version;
            co_return;
        }
        head = *decoded;
    }
    if (head.generation < m_distributor.held().generation) {
        co_await restorePlatform();
        m_handledVersion = 0;
    } else if (co_await pullGeneration(head)) {
        m_handledVersion = object.version;
    } else {
        m_handledVersion = 0;
        co_await pause(m_backoff.nextDelay());
    }
}

asio::awaitable<bool> HeadWatcher::pullGeneration(HeadPointer head)
{
    // A peer may deliver the same generation meanwhile, so the missing parts are computed again in each round.
    while (head.generation > m_distributor.held().generation) {
        const Result<std::vector<ContentName>> missing = m_distributor.missingParts(head);
        if (!missing) {
            m_context.events.record(EventSeverity::Error, "generation_rejected", { { "error", missing.error().describe() } });
            co_return true;
        }
        if (missing->empty()) {
            const Result<void> adopted = m_distributor.adopt(head, "platform");
            if (!adopted) {
                m_context.events.record(EventSeverity::Error, "generation_rejected", { { "error", adopted.error().describe() } });
            }
            co_return true;
        }
        for (const ContentName &name : *missing) {
            const Result<void> stored = co_await pullPart(name);
            if (!stored) {
                m_context.events.record(EventSeverity::Warning, "part_not_read", { { "error", stored.error().describe() } });
                co_return false;
            }
        }
    }
    co_return true;
}

asio::awaitable<Result<void>> HeadWatcher::pullPart(ContentName name)
{
    if (m_store.part(name)) {
        co_return Result<void>();
    }
    Result<PlatformObject> object = co_await m_context.platform.read(partKey(name), callDeadline());
    if (!object) {
        co_return tl::unexpected<Error>(object.error());
    }
    reportAnswer();
    co_return m_distributor.addPart(name, std::move(object->body));
}

asio::awaitable<void> HeadWatcher::restorePlatform()
{
    co_await pause(minRestoreDelay + std::chrono::milliseconds(m_context.random.below(restoreJitter.count())));
    const Result<PlatformObject> object = co_await m_context.platform.read(headKey, callDeadline());
    if (!object && object.error().kind() != ErrorKind::NotFound) {
        co_return;
    }
    const HeadPointer platformHead = object ? HeadPointer::decode(object->body).value_or(HeadPointer()) : HeadPointer();
    const HeadPointer held = m_distributor.held();
    if (platformHead.generation >= held.generation) {
        co_return; // another watcher has restored it, or the first read was stale
    }
    m_context.events.record(EventSeverity::Error, "platform_regressed",
        { { "platform_generation", std::to_string(platformHead.generation) }, { "held_generation", std::to_string(held.generation) } });
    if (!co_await writeParts(platformHead)) {
        co_return;
    }
    if (m_distributor.held() != held) {
        co_return; // a newer generation was adopted meanwhile; the next round writes its parts
    }
    const std::uint64_t expected = object ? object->version : Platform::mustNotExist;
    const Result<std::uint64_t> written = co_await m_context.platform.write(headKey, held.encode(), expected, callDeadline());
    if (written) {
        ++m_restoredCount;
        m_context.events.record(EventSeverity::Warning, "platform_restored", { { "generation", std::to_string(held.generation) } });
    }
}

asio::awaitable<bool> HeadWatcher::writeParts(HeadPointer platformHead)
{
    const std::optional<HeadRecord> record = co_await platformRecord(platformHead);
    const std::vector<ContentName> names = partsToWrite(record);
    for (const ContentName &name : names) {
        const auto content = m_store.part(name);
        if (!content) {
            co_return false;
        }
        const Result<std::uint64_t> written
            = co_await m_context.platform.write(partKey(name), *content, Platform::mustNotExist, callDeadline());
        // A version conflict means that the part exists already. Parts are immutable.
        if (!written && written.error().kind() != ErrorKind::VersionConflict) {
            co_return false;
        }
        co_await pause(restoreWriteInterval);
    }
    co_return true;
}

asio::awaitable<std::optional<HeadRecord>> HeadWatcher::platformRecord(HeadPointer head)
{
    std::optional<HeadRecord> record;
    if (!head.record.isUnset()) {
        const Result<PlatformObject> object = co_await m_context.platform.read(partKey(head.record), callDeadline());
        if (object) {
            if (const Result<HeadRecord> decoded = HeadRecord::decode(object->body)) {
                record = *decoded;
            }
        }
    }
    co_return record;
}

std::vector<ContentName> HeadWatcher::partsToWrite(const std::optional<HeadRecord> &platformRecord) const
{
    HeadRecord::Fields fields;
    fields.indexes = m_distributor.heldRecord()->indexes();
    for (std::size_t index = 0; platformRecord && index < HeadRecord::indexCount; ++index) {
        // The platform already stores the index parts that its head refers to, and the parts that these refer to.
        if (fields.indexes[index] == platformRecord->indexes()[index]) {
            fields.indexes[index] = ContentName();
        }
    }
    std::vector<ContentName> names = ConfigTree::referencedParts(HeadRecord(fields), m_store).value_or(std::vector<ContentName>());
    names.push_back(m_distributor.held().record);
    return names;
}

asio::awaitable<void> HeadWatcher::pause(std::chrono::milliseconds time)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, time);
    co_await timer.async_wait(asio::use_awaitable);
}

TimePoint HeadWatcher::callDeadline() const
{
    return m_context.clock.now() + PlatformContext::callTimeout;
}

void HeadWatcher::reportAnswer()
{
    m_context.handler.platformAnswered(m_context.clock.now());
}

} // namespace Samphirepitch
