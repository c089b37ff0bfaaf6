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
 * A complete deployment on one thread: the stand-ins, two instances in each of three failure domains, and callers. The service "desk"
 * has affinity "flow", and only its method "look" is idempotent. The service "tiles" has affinity "request" and the idempotent method
 * "tile".
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

    /**
     * Publishes a configuration; fails the test if it is not accepted.
     * @param drained names of the backend servers with the state "drain"
     * @return the generation
     */
    std::uint64_t publish(const std::set<std::string> &drained = {});

    /** Starts an instance and adds it to the instance list of the platform. */
    void start(std::size_t index);

    /**
     * Starts instances and waits until they serve and see each other. The fabric sends to all of them.
     * @param generation generation that the instances must hold
     * @param except index of the instance that is not started; instanceCount for none
     */
    void startAll(std::uint64_t generation, std::size_t except = instanceCount);

    /** Ends an instance without a graceful stop. The fabric still sends to it until setFabricInstances() is called. */
    void kill(std::size_t index);

    /** Sets the instances that the fabric sends to. */
    void setFabricInstances(const std::vector<std::size_t> &indexes);

    /** Runs the deployment until @p done. @return false after testTimeout, so that a failing test ends */
    bool runUntil(const std::function<bool()> &done);

    /** Repeats incomplete requests until all are complete. @return false after testTimeout */
    bool repeatUntilComplete();

    /**
     * Waits until a metric of several instances has a value.
     * @param indexes instances that are checked
     * @param name metric, with its labels
     * @param value expected value
     * @return false after testTimeout
     */
    bool waitForMetric(const std::vector<std::size_t> &indexes, const std::string &name, double value);

    /** Returns a metric of an instance, named with its labels; 0 if the instance has no such metric. */
    double metric(std::size_t index, const std::string &name);

    /** Returns the sum of a metric over all running instances. */
    double metricSum(const std::string &name);

    /** Waits until the sum of a metric over all running instances is at least @p least. @return false after testTimeout */
    bool waitForMetricSum(const std::string &name, double least);

    SystemCaller &addCaller();
    const std::vector<std::unique_ptr<SystemCaller>> &callers() const;

    /** Sends a POST request to an admin path of the platform stand-in. */
    void postToPlatform(const std::string &path);

    std::vector<std::size_t> runningInstances() const;
    bool isServing(std::size_t index) const;
    StandIn::PlatformStandIn &platform();
    StandIn::FabricStandIn &fabric();
    StandIn::BackendGroup &servers();
    Endpoint dataAddress(std::size_t index) const;
    Endpoint backAddress(std::size_t index) const;
    Endpoint deskAddress() const;
    Endpoint tilesAddress() const;

private:
    std::string sendHttpRequest(std::size_t port, const std::string &request);
    Endpoint loopbackEndpoint(std::size_t port) const;
    std::string configText(const std::set<std::string> &drained) const;
    ConfigSet config(const std::set<std::string> &drained) const;
    Settings settings(std::size_t index) const;
    std::size_t pollAll();

    std::uint32_t m_address; /**< loopback address; unique among the processes of a machine */
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
