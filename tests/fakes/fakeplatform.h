#pragma once

#include "core/clock.h"
#include "objectstore/platform.h"

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace Samphirepitch::Tests
{

/** What happens to a call of the fake platform. */
enum class Fault {
    None,
    Outage, /**< Unavailable, no effect. */
    RateLimit, /**< RateLimited, no effect. */
    LoseRequest, /**< OutcomeUnknown, no effect. */
    LoseAnswer, /**< OutcomeUnknown after the effect. */
};

/** A platform in memory. Each call takes a millisecond of the manual clock. */
class FakePlatform : public Platform
{
public:
    struct Call {
        std::string operation;
        std::string key;
    };

    explicit FakePlatform(ManualClock &clock)
        : m_clock(clock)
    {
    }

    std::function<Fault(const Call &)> fault; /**< decides over each call; none if unset */
    std::function<void()> beforeHeadWrite; /**< called once before the next write of "head", for races */
    std::map<std::string, PlatformObject> objects;
    std::vector<ListedInstance> listed;
    std::vector<Call> calls;

    asio::awaitable<Result<PlatformObject>> read(std::string key, TimePoint) override
    {
        const auto refusal = refused("read", key);
        if (refusal.has_value()) {
            co_return tl::unexpected(refusal->first);
        }
        const auto found = objects.find(key);
        if (found == objects.end()) {
            co_return failure(ErrorKind::NotFound, key, "no such object");
        }
        co_return found->second;
    }

    asio::awaitable<Result<std::uint64_t>> write(std::string key, std::string body, std::uint64_t expected, TimePoint) override
    {
        if (key == "head" && beforeHeadWrite) {
            std::exchange(beforeHeadWrite, nullptr)();
        }
        const auto refusal = refused("write", key);
        if (refusal.has_value() && !refusal->second) {
            co_return tl::unexpected(refusal->first);
        }
        const auto found = objects.find(key);
        const std::uint64_t version = found == objects.end() ? mustNotExist : found->second.version;
        const bool matches = version == expected;
        if (matches) {
            objects[key] = PlatformObject { key, std::move(body), version + 1 };
        }
        if (refusal.has_value()) {
            co_return tl::unexpected(refusal->first);
        }
        if (!matches) {
            co_return failure(ErrorKind::VersionConflict, key, "version " + std::to_string(version));
        }
        co_return version + 1;
    }

    asio::awaitable<Result<PlatformObject>> watch(std::string key, std::uint64_t, TimePoint) override
    {
        co_return failure(ErrorKind::DeadlineExceeded, key, "not changed");
    }

    asio::awaitable<Result<std::vector<PlatformObject>>> list(std::string prefix, TimePoint) override
    {
        const auto refusal = refused("list", prefix);
        if (refusal.has_value()) {
            co_return tl::unexpected(refusal->first);
        }
        std::vector<PlatformObject> found;
        for (const auto &[key, object] : objects) {
            if (key.starts_with(prefix)) {
                found.push_back(object);
            }
        }
        co_return found;
    }

    asio::awaitable<Result<std::vector<ListedInstance>>> instances(TimePoint) override
    {
        const auto refusal = refused("instances", "");
        if (refusal.has_value()) {
            co_return tl::unexpected(refusal->first);
        }
        co_return listed;
    }

private:
    /** Returns the error of a failed call and whether the call takes effect. */
    std::optional<std::pair<Error, bool>> refused(std::string operation, std::string key)
    {
        m_clock.advance(std::chrono::milliseconds(1));
        calls.push_back({ std::move(operation), std::move(key) });
        switch (fault ? fault(calls.back()) : Fault::None) {
        case Fault::None:
            return std::nullopt;
        case Fault::Outage:
            return std::pair(Error(ErrorKind::Unavailable, "platform", "outage"), false);
        case Fault::RateLimit:
            return std::pair(Error(ErrorKind::RateLimited, "platform", "too many calls"), false);
        case Fault::LoseRequest:
            return std::pair(Error(ErrorKind::OutcomeUnknown, "platform", "request lost"), false);
        case Fault::LoseAnswer:
            return std::pair(Error(ErrorKind::OutcomeUnknown, "platform", "answer lost"), true);
        }
        return std::nullopt;
    }

    ManualClock &m_clock;
};

} // namespace Samphirepitch::Tests
