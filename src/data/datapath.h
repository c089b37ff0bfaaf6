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

class ResponseObserver;
class PacketEngine;

/** Settings of a DataPath. */
struct DataPathSettings {
    std::string instance; /**< id of this instance */
    std::string failureDomain; /**< failure domain of this instance */
    Endpoint dataAddress; /**< receives datagrams from the fabric and from other instances */
    Endpoint backAddress; /**< receives datagrams from backend servers; port 0 lets the system choose the port */
    Endpoint fabricReturn; /**< address of the fabric to which datagrams for callers are sent */
    std::size_t maxFlows = 300000; /**< capacity of the flow table */
    ChooserKind chooser = ChooserKind::LocalFirst; /**< load balancing method for services with affinity "request" */
    bool isNewId = false; /**< no earlier process used this instance id within the longest repeat window */
};

/**
 * Serves the packets of an instance on UDP sockets. The network fabric sends each packet of a caller to any of the instances, and
 * delivers the datagrams of the instances to the callers. All member functions must be called on the thread that runs the executor.
 */
class DataPath : public ConfigListener, public MemberListener, public MetricSource
{
public:
    /**
     * Creates a data path and binds its sockets.
     * @param executor executor of an io_context that runs on one thread
     * @param clock time source; must outlive the data path
     * @param random random source for load balancing and retry times; must outlive the data path
     * @param events receiver of operational events; must outlive the data path
     * @param settings addresses and limits
     * @return the data path, or an InputOutput error whose subject is the address that can't be bound
     */
    static Result<std::unique_ptr<DataPath>> create(
        asio::any_io_executor executor, const Clock &clock, RandomSource &random, EventSink &events, DataPathSettings settings);
    ~DataPath() override;

    /** Sets the transport of flow exceptions to other instances; null for none. It must outlive the data path. */
    void setFlowExceptionTransport(FlowExceptionTransport *transport);

    /** Sets the observer of response times; null for none. It must outlive the data path. */
    void setResponseObserver(ResponseObserver *observer);

    void configurationChanged(const ConfigGeneration &generation) override;
    void memberViewChanged(std::shared_ptr<const MemberView> view) override;
    void writeMetrics(MetricWriter &writer) const override;

    /** Serves packets until stop(). */
    asio::awaitable<void> run();

    /** Makes run() return after the current datagrams. Can't be undone. */
    void stop();

    /**
     * Begins a graceful stop. Requests are still served and forwarded as before; pendingRequests() counts what has to end before
     * the instance can stop.
     */
    void beginDrain();
    bool isDraining() const;

    /**
     * Returns the number of requests that wait for a response or for a slot of a backend server. While draining, the number also
     * includes the recorded non-idempotent requests, which a caller may still repeat.
     */
    std::size_t pendingRequests() const;

    /**
     * Returns the configuration generation that the data path uses; 0 before the first. This is Router::heldGeneration(), which can be
     * higher than Router::activeGeneration().
     */
    std::uint64_t heldGeneration() const;

    /** Returns the highest generation whose flow exceptions have all been delivered; it is reported to the peers. */
    std::uint64_t preparedGeneration() const;

    /**
     * Lets moved buckets accept new flows at their new servers. To be called when all live members of the reachable failure domains
     * have prepared @p generation.
     */
    void activate(std::uint64_t generation);

    /** Stores flow exceptions that another instance sent. */
    void flowExceptionsReceived(const FlowExceptionUpdate &update);

    /** Records that @p instance acknowledged the batch @p sequence of this instance. */
    void flowExceptionsDelivered(const std::string &instance, std::uint64_t sequence);

    /**
     * Applies a health state of a backend server that an instance reported after probing it.
     * @param server address of the backend server
     * @param up whether the server is considered up
     * @param at when the reporting instance saw the change; older reports than the stored one are ignored
     */
    void serverStateReported(Endpoint server, bool up, WallTime at);

    /** Sets when the member view expires. From @p deadline on, non-idempotent requests are refused as "unknown". */
    void setViewDeadline(TimePoint deadline);

    /** Returns the address that receives datagrams from backend servers, with the actual port if port 0 was requested. */
    Endpoint backAddress() const;

    /** Returns the packet engine, for status reports and tests. */
    PacketEngine &engine();

private:
    class Implementation;

    explicit DataPath(std::unique_ptr<Implementation> implementation);

    std::unique_ptr<Implementation> m_implementation;
};

} // namespace Samphirepitch
