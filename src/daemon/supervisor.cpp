#include "daemon/supervisor.h"

#include <asio/bind_cancellation_slot.hpp>
#include <asio/cancellation_signal.hpp>
#include <asio/co_spawn.hpp>
#include <asio/redirect_error.hpp>
#include <asio/steady_timer.hpp>
#include <asio/use_awaitable.hpp>

#include <deque>
#include <exception>
#include <optional>

namespace Samphirepitch
{

namespace
{

struct ChildState {
    explicit ChildState(Supervisor::Child specification)
        : child(std::move(specification))
    {
    }

    Supervisor::Child child;
    bool running = false;
    asio::cancellation_signal cancel;
};

Result<void> toResult(const std::string &name, const std::exception_ptr &thrown, Result<void> result)
{
    if (!thrown) {
        return result;
    }
    try {
        std::rethrow_exception(thrown);
    } catch (const std::exception &error) {
        return failure(ErrorKind::InputOutput, name, error.what());
    } catch (...) {
        return failure(ErrorKind::InputOutput, name, "the task threw an exception of unknown type");
    }
}

} // namespace

/** State that is shared with the completion handlers, since a child that ignores its cancellation can outlive the supervisor. */
struct Supervisor::State : std::enable_shared_from_this<State> {
    State(std::string supervisorName, asio::any_io_executor taskExecutor, const Clock &timeSource, EventSink &sink, Limits bounds)
        : name(std::move(supervisorName))
        , executor(std::move(taskExecutor))
        , clock(timeSource)
        , events(&sink)
        , limits(bounds)
        , wakeTimer(executor)
    {
    }

    void start(ChildState &state)
    {
        state.running = true;
        asio::co_spawn(executor, state.child.start(),
            asio::bind_cancellation_slot(
                state.cancel.slot(), [self = shared_from_this(), &state](const std::exception_ptr &thrown, Result<void> result) {
                    self->handleEnd(state, toResult(state.child.name, thrown, std::move(result)));
                }));
    }

    void handleEnd(ChildState &state, const Result<void> &result)
    {
        state.running = false;
        wakeTimer.cancel();
        if (!events || stopDeadline || error) {
            return;
        }
        if (!result) {
            record(EventSeverity::Error, "task_failed", state, { { "error", result.error().describe() } });
        }
        const bool shouldRestart = state.child.restart == Restart::Always || (state.child.restart == Restart::OnFailure && !result);
        if (shouldRestart && mayRestart()) {
            record(EventSeverity::Warning, "task_restarted", state, {});
            start(state);
        } else if (shouldRestart || !result) {
            error = result ? Error(ErrorKind::Stopped, state.child.name,
                        "the task must run until the stop, but kept ending until the restart limit was reached")
                           : result.error();
        }
    }

    bool mayRestart()
    {
        const TimePoint now = clock.now();
        while (!restarts.empty() && restarts.front() + limits.window <= now) {
            restarts.pop_front();
        }
        restarts.push_back(now);
        return restarts.size() <= limits.restarts;
    }

    void record(EventSeverity severity, std::string_view event, const ChildState &state, std::vector<EventField> fields)
    {
        fields.insert(fields.begin(), { { "supervisor", name }, { "task", state.child.name } });
        events->record(severity, event, std::move(fields));
    }

    Task waitForChange(std::optional<TimePoint> deadline)
    {
        asio::error_code ignored;
        if (deadline) {
            wakeTimer.expires_after(std::max(TimePoint::duration(0), *deadline - clock.now()));
        } else {
            wakeTimer.expires_at(asio::steady_timer::time_point::max());
        }
        co_await wakeTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        co_return Result<void>();
    }

    void stopChild(ChildState &state, TimePoint deadline)
    {
        if (state.child.stop) {
            state.child.stop(deadline);
        } else {
            state.cancel.emit(asio::cancellation_type::terminal);
        }
    }

    std::string name;
    asio::any_io_executor executor;
    const Clock &clock;
    EventSink *events;
    Limits limits;
    asio::steady_timer wakeTimer;
    std::deque<ChildState> children;
    std::deque<TimePoint> restarts;
    std::optional<TimePoint> stopDeadline;
    std::optional<Error> error;
};

Supervisor::Supervisor(std::string name, asio::any_io_executor executor, const Clock &clock, EventSink &events, Limits limits)
    : m_state(std::make_shared<State>(std::move(name), std::move(executor), clock, events, limits))
{
}

Supervisor::~Supervisor()
{
    m_state->events = nullptr;
}

void Supervisor::add(Child child)
{
    m_state->children.emplace_back(std::move(child));
}

Supervisor::Task Supervisor::run()
{
    const std::shared_ptr<State> state = m_state;
    for (ChildState &child : state->children) {
        state->start(child);
    }
    while (!state->stopDeadline && !state->error) {
        co_await state->waitForChange(std::nullopt);
    }
    if (!state->stopDeadline) {
        state->stopDeadline = state->clock.now() + state->limits.failureStop;
    }
    std::string unfinished;
    for (auto child = state->children.rbegin(); child != state->children.rend(); ++child) {
        if (child->running) {
            state->stopChild(*child, *state->stopDeadline);
        }
        while (child->running && state->clock.now() < *state->stopDeadline) {
            co_await state->waitForChange(state->stopDeadline);
        }
        if (child->running) {
            unfinished += (unfinished.empty() ? "" : " ") + child->child.name;
            child->cancel.emit(asio::cancellation_type::terminal);
        }
    }
    if (state->error) {
        co_return tl::unexpected(*state->error);
    }
    if (!unfinished.empty()) {
        co_return failure(ErrorKind::DeadlineExceeded, unfinished, "the tasks did not end by the stop deadline");
    }
    co_return Result<void>();
}

void Supervisor::requestStop(TimePoint deadline)
{
    if (!m_state->stopDeadline || deadline < *m_state->stopDeadline) {
        m_state->stopDeadline = deadline;
    }
    m_state->wakeTimer.cancel();
}

} // namespace Samphirepitch
