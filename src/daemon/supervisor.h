#pragma once

#include "core/clock.h"
#include "core/error.h"
#include "core/eventsink.h"

#include <asio/any_io_executor.hpp>
#include <asio/awaitable.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Samphirepitch
{

/** When a child that ended is started again. */
enum class Restart {
    Always, /**< A child that is meant to run until the stop. */
    OnFailure, /**< A child that may finish its work. */
    Never, /**< A failure of the child fails the supervisor. */
};

/**
 * Starts tasks, starts a task that ended again (one for one), and stops them in the reverse order of their start.
 * If children end more often than the limits allow, the supervisor stops the rest and fails.
 */
class Supervisor
{
public:
    using Task = asio::awaitable<Result<void>>;

    /** One child. */
    struct Child {
        std::string name; /**< unique inside the supervisor */
        std::function<Task()> start; /**< makes the task; called for each start */
        std::function<void(TimePoint)> stop; /**< asks the task to end by the deadline; if empty, the task is cancelled */
        Restart restart = Restart::Always;
    };

    /** How often children may be started again. */
    struct Limits {
        std::size_t restarts = 5; /**< in the window; one more fails the supervisor */
        std::chrono::milliseconds window { 10000 };
        std::chrono::milliseconds failureStop { 1000 }; /**< time for the other children to end after a failure */
    };

    /**
     * @param name for events
     * @param executor runs the children; of one thread
     * @param clock for the restart window and the stop deadline
     * @param events gets starts, failures and stops
     * @param limits the restart bound
     */
    Supervisor(std::string name, asio::any_io_executor executor, const Clock &clock, EventSink &events, Limits limits);
    ~Supervisor();

    /** Adds a child; before run(). */
    void add(Child child);

    /**
     * Starts the children in the order of add() and supervises them.
     * @return success after requestStop() if all children ended; DeadlineExceeded that names the children that did not;
     *         or the error of the child that failed the supervisor
     */
    Task run();

    /** Begins an orderly stop; a later call can only bring the deadline forward. */
    void requestStop(TimePoint deadline);

private:
    struct State;

    std::shared_ptr<State> m_state;
};

} // namespace Samphirepitch
