#pragma once

#include "lib/backendgroup.h"
#include "lib/fabricstandin.h"
#include "lib/platformstandin.h"
#include "model/configset.h"
#include "objectstore/httpplatform.h"
#include "system/instancehost.h"
#include "system/systemcaller.h"

#include <functional>
#include <set>

namespace Samphirepitch::Testing
{

/**
 * A whole deployment on one thread: the stand-ins, two instances in each of three failure domains, and callers. The service
 * "desk" has affinity "flow" and only non-idempotent methods but "look"; "tiles" has affinity "request" and the idempotent method "tile".
 */
class SystemDeployment
{
public:
    static constexpr std::size_t instanceCount = 6;
    static constexpr std::uint64_t seed = 20261204;

    SystemDeployment();
    ~SystemDeployment();

    SystemDeployment(const SystemDeployment &) = delete;
    SystemDeployment &operator=(const SystemDeployment &) = delete;

    /** Publishes the configuration in which the servers @p drained drain. @return the generation */
    std::uint64_t publish(const std::set<std::string> &drained = {});

    /** Starts an instance and lists it at the platform. */
    void start(std::size_t index);

    /** Starts all instances but @p except, and waits until they serve @p generation and see each other. */
    void startAll(std::uint64_t generation, std::size_t except = instanceCount);

    /** Ends an instance without a graceful stop; the fabric goes on sending to it until spread() is called. */
    void kill(std::size_t index);

    /** Makes the fabric send to the given instances only. */
    void spread(const std::vector<std::size_t> &indexes);

    /** Runs everything until @p done; the deadline only ends a test that failed. */
    bool until(const std::function<bool()> &done);

    /** Repeats requests that are not settled until all are. */
    bool untilSettled();

    /** Waits until the instances @p indexes show @p value for a metric, given with its labels. */
    bool untilMetric(const std::vector<std::size_t> &indexes, const std::string &name, double value);

    /** Returns a metric of an instance; 0 if it has none of that name and labels. */
    double metric(std::size_t index, const std::string &name);

    /** Returns the sum of a metric over all running instances. */
    double metricSum(const std::string &name);

    /** Waits until the sum of a metric over all running instances is at least @p least. */
    bool untilSum(const std::string &name, double least);

    SystemCaller &addCaller();
    const std::vector<std::unique_ptr<SystemCaller>> &callers() const;

    /** Calls an admin path of the platform stand-in. */
    void postToPlatform(const std::string &path);

    std::vector<std::size_t> running() const;
    bool isServing(std::size_t index) const;
    StandIn::PlatformStandIn &platform();
    StandIn::FabricStandIn &fabric();
    StandIn::BackendGroup &servers();
    Endpoint dataAddress(std::size_t index) const;
    Endpoint backAddress(std::size_t index) const;
    Endpoint desk() const;
    Endpoint tiles() const;

private:
    std::string exchange(std::size_t port, const std::string &request);
    Endpoint at(std::size_t port) const;
    std::string configText(const std::set<std::string> &drained) const;
    ConfigSet config(const std::set<std::string> &drained) const;
    Settings settings(std::size_t index) const;
    std::size_t pollAll();

    std::uint32_t m_address; /**< differs between the processes of a machine */
    std::string m_logFile;
    std::uint64_t m_changes = 0;
    SteadyClock m_clock;
    asio::io_context m_context { 1 };
    StandIn::PlatformStandIn m_platform { m_context.get_executor(), m_clock };
    std::unique_ptr<HttpServer> m_platformServer;
    std::unique_ptr<HttpPlatform> m_client;
    std::unique_ptr<StandIn::FabricStandIn> m_fabric;
    std::unique_ptr<StandIn::BackendGroup> m_servers;
    std::vector<std::unique_ptr<SystemCaller>> m_callers;
    std::vector<std::unique_ptr<InstanceHost>> m_instances { instanceCount };
};

} // namespace Samphirepitch::Testing
