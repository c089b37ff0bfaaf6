#pragma once

#include "core/clock.h"
#include "core/error.h"
#include "core/eventsink.h"
#include "core/metricsource.h"
#include "core/random.h"
#include "membership/memberlistener.h"
#include "model/configgeneration.h"
#include "routing/flowexceptiontransport.h"
#include "routing/serverchooser.h"

#include <asio/any_io_executor.hpp>
#include <asio/awaitable.hpp>

#include <memory>

namespace Samphirepitch
{

class AnswerObserver;
class PacketEngine;

/** Settings of a DataPath. */
struct DataPathSettings {
    std::string instance; /**< id of this instance */
    std::string failureDomain;
    Endpoint dataAddress; /**< where packets of the fabric and of other instances arrive */
    Endpoint backAddress; /**< where answers of backend servers arrive; the port may be 0 */
    Endpoint fabricReturn; /**< where packets to callers go */
    std::size_t maxFlows = 300000;
    ChooserKind chooser = ChooserKind::LocalFirst;
    bool isNewId = false; /**< no earlier process ran under this id within the longest repeat window */
};

/** The packet tasks of an instance on UDP sockets. Runs on one thread, which is also the only one that may call it. */
class DataPath : public ConfigListener, public MemberListener, public MetricSource
{
public:
    /**
     * Opens the sockets.
     * @param executor of an io_context that one thread runs
     * @param clock must outlive the data path, as random and events
     * @return the data path, or InputOutput with the address that can't be used
     */
    static Result<std::unique_ptr<DataPath>> create(
        asio::any_io_executor executor, const Clock &clock, RandomSource &random, EventSink &events, DataPathSettings settings);
    ~DataPath() override;

    /** Sets what carries flow exceptions to other instances; it must outlive the data path. */
    void setFlowExceptionTransport(FlowExceptionTransport *transport);

    /** Sets what hears of answers of backend servers; it must outlive the data path. */
    void setAnswerObserver(AnswerObserver *observer);

    void configurationChanged(const ConfigGeneration &generation) override;
    void memberViewChanged(std::shared_ptr<const MemberView> view) override;
    void writeMetrics(MetricWriter &writer) const override;

    /** Serves packets until stop(). */
    asio::awaitable<void> run();

    /** Ends run() soon. */
    void stop();

    /** Begins a graceful stop: requests that this instance accepted are finished, others are still served or forwarded. */
    void beginDrain();
    bool isDraining() const;

    /** Requests that wait for an answer or a slot, and, while draining, those that a caller may still repeat here. */
    std::size_t pendingRequests() const;

    /** Generation that the data path uses; 0 before the first. */
    std::uint64_t activeGeneration() const;

    /** Generation whose flow exceptions have all been delivered; reported to the peers. */
    std::uint64_t preparedGeneration() const;

    /** Says that all live members of the reachable failure domains have prepared @p generation. */
    void activate(std::uint64_t generation);

    /** Takes flow exceptions from another instance. */
    void flowExceptionsReceived(const FlowExceptionUpdate &batch);

    /** Says that @p instance has the batch @p sequence of this instance. */
    void flowExceptionsDelivered(const std::string &instance, std::uint64_t sequence);

    /** Takes a state of a backend server that was spread by its probers, with the time at which the prober saw it. */
    void serverStateReported(Endpoint server, bool up, WallTime at);

    /** After @p deadline the member view is too old to decide about non-idempotent requests, which are then "unknown". */
    void setViewDeadline(TimePoint deadline);

    /** Address at which answers arrive, with the port that was chosen for port 0. */
    Endpoint backAddress() const;

    /** Decisions and counters, for status and tests. */
    PacketEngine &engine();

private:
    class Implementation;

    explicit DataPath(std::unique_ptr<Implementation> implementation);

    std::unique_ptr<Implementation> m_implementation;
};

} // namespace Samphirepitch
