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

/** Fault that is injected into a call of the fake platform. */
enum class Fault {
    None,
    Outage, /**< fails with Unavailable, no effect */
    RateLimit, /**< fails with RateLimited, no effect */
    LoseRequest, /**< fails with OutcomeUnknown, no effect */
    LoseResponse, /**< takes effect, then fails with OutcomeUnknown */
};

/** A platform in memory that records all calls. Each call advances the manual clock by one millisecond. */
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

    std::function<Fault(const Call &)> fault; /**< chooses the fault of each call; unset: no faults */
    std::function<void()> beforeHeadWrite; /**< called once, before the next write of "head"; simulates a concurrent writer */
    std::map<std::string, PlatformObject> objects;
    std::vector<ListedInstance> listed;
    std::vector<Call> calls;

    asio::awaitable<Result<PlatformObject>> read(std::string key, TimePoint) override
    {
        const auto injectedFault = recordCall("read", key);
        if (injectedFault.has_value()) {
            co_return tl::unexpected(injectedFault->first);
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
        const auto injectedFault = recordCall("write", key);
        if (injectedFault.has_value() && !injectedFault->second) {
            co_return tl::unexpected(injectedFault->first);
        }
        const auto found = objects.find(key);
        const std::uint64_t version = found == objects.end() ? mustNotExist : found->second.version;
        const bool matches = version == expected;
        if (matches) {
            objects[key] = PlatformObject { key, std::move(body), version + 1 };
        }
        if (injectedFault.has_value()) {
            co_return tl::unexpected(injectedFault->first);
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
        const auto injectedFault = recordCall("list", prefix);
        if (injectedFault.has_value()) {
            co_return tl::unexpected(injectedFault->first);
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
        const auto injectedFault = recordCall("instances", "");
        if (injectedFault.has_value()) {
            co_return tl::unexpected(injectedFault->first);
        }
        co_return listed;
    }

private:
    /** Records a call and chooses its fault. @return the error and whether the call takes effect nevertheless; unset without a fault */
    std::optional<std::pair<Error, bool>> recordCall(std::string operation, std::string key)
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
        case Fault::LoseResponse:
            return std::pair(Error(ErrorKind::OutcomeUnknown, "platform", "response lost"), true);
        }
        return std::nullopt;
    }

    ManualClock &m_clock;
};

} // namespace Samphirepitch::Tests
