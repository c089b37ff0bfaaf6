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

/** Policy for restarting a child that ended. */
enum class Restart {
    Always, /**< The child is restarted whenever it ends. */
    OnFailure, /**< The child is restarted if it failed; it may end with success. */
    Never, /**< The child is not restarted; its failure fails the supervisor. */
};

/**
 * Runs tasks, called children. Restarts a child that ended (one-for-one strategy), and stops the children in the reverse order of
 * their start. If children have to be restarted more often than the limits allow, the supervisor stops all others and fails.
 */
class Supervisor
{
public:
    using Task = asio::awaitable<Result<void>>;

    /** A supervised task. */
    struct Child {
        std::string name; /**< name for events and errors; unique within the supervisor */
        std::function<Task()> start; /**< creates the task; called for each start */
        std::function<void(TimePoint)> stop; /**< requests the task to end by the deadline; if empty, the task is cancelled */
        Restart restart = Restart::Always;
    };

    /** Bounds of restarts and of the stop after a failure. */
    struct Limits {
        std::size_t restarts = 5; /**< maximum number of restarts of all children within the window; one more fails the supervisor */
        std::chrono::milliseconds window { 10000 };
        std::chrono::milliseconds failureStop { 1000 }; /**< time that the other children have to end after a failure */
    };

    /**
     * @param name name of the supervisor for events
     * @param executor runs the children; must be single-threaded
     * @param clock clock of the restart window and the stop deadline; must outlive the tasks
     * @param events receives failures and restarts of children; must outlive this object
     * @param limits bounds of restarts
     */
    Supervisor(std::string name, asio::any_io_executor executor, const Clock &clock, EventSink &events, Limits limits);
    ~Supervisor();

    /** Adds a child; must be called before run(). */
    void add(Child child);

    /**
     * Starts the children in the order of add() and supervises them until requestStop() or a failure.
     * @return success if all children ended after requestStop(); DeadlineExceeded with the names of the children that did not end by
     *         the deadline; Stopped if a child kept ending without an error; or the error of the child that failed the supervisor
     */
    Task run();

    /** Stops all children by @p deadline. A further call can make the deadline earlier but not later. */
    void requestStop(TimePoint deadline);

private:
    struct State;

    std::shared_ptr<State> m_state;
};

} // namespace Samphirepitch
