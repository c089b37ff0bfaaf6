#include "objectstore/configloader.h"

#include "model/configtree.h"
#include "objectstore/retry.h"

#include <asio/experimental/awaitable_operators.hpp>

#include <memory>
#include <utility>

namespace Samphirepitch
{

ConfigLoader::ConfigLoader(Platform &platform, const Clock &clock, Timer &timer, RandomSource &random)
    : m_platform(platform)
    , m_clock(clock)
    , m_timer(timer)
    , m_random(random)
{
}

std::string ConfigLoader::partKey(const ContentName &name)
{
    return "parts/" + name.toHex();
}

asio::awaitable<Result<PlatformObject>> ConfigLoader::readObject(std::string key, TimePoint deadline)
{
    const auto attempt = [this, key = std::move(key)](TimePoint attemptDeadline) { return m_platform.read(key, attemptDeadline); };
    return retryRead(attempt, RetrySchedule(m_clock, m_timer, m_random, deadline));
}

asio::awaitable<Result<VersionedHead>> ConfigLoader::readHead(TimePoint deadline)
{
    const auto object = co_await readObject("head", deadline);
    if (!object) {
        if (object.error().kind() == ErrorKind::NotFound) {
            co_return VersionedHead();
        }
        co_return tl::unexpected(object.error());
    }
    const auto pointer = HeadPointer::decode(object->body);
    if (!pointer) {
        co_return tl::unexpected(pointer.error());
    }
    VersionedHead head;
    head.pointer = *pointer;
    head.version = object->version;
    co_return head;
}

asio::awaitable<Result<std::string>> ConfigLoader::readPart(ContentName name, TimePoint deadline)
{
    auto object = co_await readObject(partKey(name), deadline);
    if (!object) {
        co_return tl::unexpected(object.error());
    }
    if (ContentName::of(object->body) != name) {
        co_return failure(ErrorKind::Malformed, object->key, "the hash of the content does not match the name of the part");
    }
    co_return std::move(object->body);
}

asio::awaitable<Result<HeadRecord>> ConfigLoader::readRecord(ContentName name, TimePoint deadline)
{
    const auto content = co_await readPart(name, deadline);
    if (!content) {
        co_return tl::unexpected(content.error());
    }
    co_return HeadRecord::decode(*content);
}

asio::awaitable<void> ConfigLoader::readParts(PartQueue &queue, TimePoint deadline)
{
    while (!queue.error && queue.next < queue.names.size()) {
        const ContentName name = queue.names[queue.next++];
        auto content = co_await readPart(name, deadline);
        if (content) {
            queue.parts.add(name, std::move(*content));
        } else {
            queue.error = content.error();
        }
    }
}

asio::awaitable<Result<ConfigSet>> ConfigLoader::readSet(HeadRecord head, TimePoint deadline)
{
    using namespace asio::experimental::awaitable_operators;
    PartQueue queue;
    while (true) {
        auto missing = ConfigTree::missingParts(head, queue.parts);
        if (!missing) {
            co_return tl::unexpected(missing.error());
        }
        if (missing->empty()) {
            co_return ConfigTree::assemble(head, queue.parts);
        }
        queue.names = std::move(*missing);
        queue.next = 0;
        // Four concurrent reads stay below the rate limit of the platform at a response time of two milliseconds.
        co_await (readParts(queue, deadline) && readParts(queue, deadline) && readParts(queue, deadline) && readParts(queue, deadline));
        if (queue.error) {
            co_return tl::unexpected(*queue.error);
        }
    }
}

asio::awaitable<Result<ConfigGeneration>> ConfigLoader::readCurrent(TimePoint deadline)
{
    const auto newest = co_await readHead(deadline);
    if (!newest) {
        co_return tl::unexpected(newest.error());
    }
    ConfigGeneration generation;
    generation.head = newest->pointer;
    if (newest->version == Platform::mustNotExist) {
        generation.set = std::make_shared<const ConfigSet>();
        co_return generation;
    }
    auto found = co_await readRecord(newest->pointer.record, deadline);
    if (!found) {
        co_return tl::unexpected(found.error());
    }
    auto objects = co_await readSet(std::move(*found), deadline);
    if (!objects) {
        co_return tl::unexpected(objects.error());
    }
    generation.set = std::make_shared<const ConfigSet>(std::move(*objects));
    co_return generation;
}

asio::awaitable<Result<HeadRecord>> ConfigLoader::findRecord(HeadPointer head, std::uint64_t generation, TimePoint deadline)
{
    ContentName name = head.generation >= generation ? head.record : ContentName();
    while (!name.isUnset()) {
        auto found = co_await readRecord(name, deadline);
        if (!found || found->generation() == generation) {
            co_return found;
        }
        // The chain ends: names are hashes of the content, so it cannot contain a cycle.
        name = found->generation() > generation ? found->previous() : ContentName();
    }
    co_return failure(ErrorKind::NotFound, "generation " + std::to_string(generation),
        "the generation is not in the history; the newest generation on the platform is " + std::to_string(head.generation));
}

asio::awaitable<Result<std::vector<HeadRecord>>> ConfigLoader::history(std::size_t count, TimePoint deadline)
{
    const auto newest = co_await readHead(deadline);
    if (!newest) {
        co_return tl::unexpected(newest.error());
    }
    std::vector<HeadRecord> records;
    ContentName name = newest->pointer.record;
    while (!name.isUnset() && records.size() < count) {
        auto found = co_await readRecord(name, deadline);
        if (!found) {
            co_return tl::unexpected(found.error());
        }
        name = found->previous();
        records.push_back(std::move(*found));
    }
    co_return records;
}

asio::awaitable<Result<HeadRecord>> ConfigLoader::findChange(std::string changeId, TimePoint deadline)
{
    const auto newest = co_await readHead(deadline);
    if (!newest) {
        co_return tl::unexpected(newest.error());
    }
    ContentName name = newest->pointer.record;
    while (!name.isUnset()) {
        auto found = co_await readRecord(name, deadline);
        if (!found || found->changeId() == changeId) {
            co_return found;
        }
        name = found->previous();
    }
    co_return failure(ErrorKind::NotFound, "change " + changeId, "no accepted change has this id");
}

} // namespace Samphirepitch
