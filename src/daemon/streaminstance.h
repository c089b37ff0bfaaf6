#pragma once

#include "daemon/instancebase.h"
#include "loadreport/loadexchange.h"
#include "stream/connectprobe.h"
#include "stream/discovery.h"
#include "stream/discoverywatcher.h"
#include "stream/leastflowsselector.h"
#include "stream/packetcodec.h"
#include "stream/peersynchronizer.h"
#include "stream/streamforwarder.h"
#include "stream/streamobserver.h"
#include "stream/streamrouter.h"

#include <memory>

namespace Samphirepitch
{

/** Records the opening and response times of stream flows, and the ages of the views used to place them, in histograms. */
class StreamLatencyRecorder : public StreamObserver
{
public:
    /** Adds the histograms to @p metrics, which must outlive this object. */
    explicit StreamLatencyRecorder(Metrics &metrics);

    void recordOpeningTime(std::chrono::nanoseconds time) override;
    void recordResponseTime(std::chrono::nanoseconds time) override;
    void recordViewAges(std::chrono::nanoseconds servers, std::chrono::nanoseconds configuration) override;

private:
    LatencyHistogram &m_openingTime;
    LatencyHistogram &m_responseTime;
    LatencyHistogram &m_serversAge;
    LatencyHistogram &m_configurationAge;
};

/** Platform-specific adapters of an instance for stream flows. */
struct StreamAdapters {
    std::unique_ptr<PacketCodec> codec;
    std::unique_ptr<Discovery> discovery;
};

/** An instance for byte-stream flows whose packets carry a placement token. */
class StreamInstance : public InstanceBase
{
public:
    /**
     * Creates an instance and opens its log and sockets.
     * @param executor runs all tasks; must be single-threaded
     * @param clock must outlive the instance
     * @param settings settings of the instance
     * @param environment packet codec and discovery of the platform
     * @return the instance, or the error of the component that could not be created
     */
    static Result<std::unique_ptr<StreamInstance>> create(
        asio::any_io_executor executor, const Clock &clock, const Settings &settings, StreamAdapters adapters);

    ~StreamInstance() override;

    /** Returns the UDP address at which packets are received. */
    Endpoint dataAddress() const;

private:
    StreamInstance(asio::any_io_executor executor, const Clock &clock, const Settings &settings, std::unique_ptr<Logger> logger,
        StreamAdapters adapters);

    std::vector<EventField> startFields() const override;
    bool hasConfiguration() const override;
    void beginLeaving() override;
    std::size_t pendingWork() const override;
    Result<void> createComponents();
    void addChildren();
    asio::awaitable<Result<void>> reportReadiness();

    StreamAdapters m_adapters;
    StreamLatencyRecorder m_latency;
    LeastFlowsSelector m_selector;
    StreamRouter m_router;
    std::unique_ptr<LoadExchange> m_loads; // null if the settings ask for no load reports
    SteadyTimer m_timer { m_clock };
    std::unique_ptr<PeerSynchronizer> m_peerSynchronizer;
    std::unique_ptr<DiscoveryWatcher> m_watcher;
    TcpConnectProbe m_probe;
    std::unique_ptr<StreamForwarder> m_forwarder;
};

} // namespace Samphirepitch
