#pragma once

#include "core/clock.h"
#include "core/random.h"
#include "soak/evacuationoperator.h"
#include "soak/faultproxy.h"
#include "soak/foreignwriter.h"
#include "soak/instanceprocess.h"
#include "soak/invariantchecker.h"
#include "soak/oddwriter.h"
#include "soak/routeoperator.h"
#include "soak/routeprobe.h"
#include "soak/soakclient.h"
#include "soak/soakserver.h"
#include "soak/storestandin.h"

#include <asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Samphirepitch::Soak
{

/** Options of one run. */
struct SoakOptions {
    std::uint64_t seed = 1; /**< determines the fault schedule */
    std::uint32_t instances = 6;
    std::uint32_t failureDomains = 3;
    std::uint32_t serversPerService = 6;
    std::chrono::milliseconds faultDuration { 9000 }; /**< length of the phase in which faults begin */
    std::chrono::milliseconds recoveryTime { 6000 }; /**< time without faults after it; at its end, requests have to succeed again */
    bool peerLinks = false; /**< whether to inject faults into the links between instances too */
    bool storeRestores = false; /**< whether the store also returns from older copies; adds some seconds to the run */
    bool oddEntries = false; /**< whether another writer leaves odd entries among those of the servers, and odd routes exist */
    bool foreignEntries
        = false; /**< whether another writer leaves sound entries at the addresses of servers, and copies of their entries */
    bool reusedPorts = false; /**< whether clients use the ports of closed flows again */
    bool evacuations = false; /**< whether an operator evacuates failure domains; adds some seconds to the run */
    bool restoredRoutes = false; /**< whether an operator removes a route that clients use, and puts it back */
    std::string program; /**< path of samphirepitchd */
    std::string folder; /**< folder for settings and logs of the instances */
    std::uint32_t network = 0; /**< number of a /16 network from 127.64.0.0 on, 0 to 31; parallel runs need different ones */
};

/** Runs instances as processes under a random schedule of faults, and checks the invariants that clients and servers observe. */
class SoakRun : public PacketFabric, public FlowObserver
{
public:
    using Time = std::chrono::steady_clock::time_point;

    explicit SoakRun(SoakOptions options);
    ~SoakRun() override;

    /** Runs the schedule; blocks until its end. @return the violations of invariants */
    std::vector<std::string> execute();

    /** Returns the schedule, one line for each action; the same seed and options give the same schedule. */
    const std::vector<std::string> &schedule() const;

    std::uint64_t servedCount() const;
    std::uint64_t failedCount() const;

    Endpoint instanceFor(Endpoint client, Endpoint service) const override;
    bool isResetViolation(Endpoint client, Endpoint service, std::uint32_t openingSequence, Time begunAt) const override;
    void flowAccepted(const SoakServer &server, Endpoint route, Endpoint instance) override;

private:
    struct Node;

    Endpoint address(std::uint32_t group, std::uint32_t number, std::uint16_t port) const;
    Endpoint markerRoute(std::uint32_t host, std::uint64_t version) const;
    void createInstances();
    void writeSettings(const Node &node) const;
    void createServers();
    void startServer(const std::string &id, const std::string &service, Endpoint address, const std::string &failureDomain);
    void writeServer(const std::shared_ptr<SoakServer> &server, const std::string &failureDomain, bool draining);
    void writeConfiguration();
    void startClients();
    void scheduleFaults();
    void scheduleAction(std::chrono::milliseconds at, const std::string &what, std::function<void()> action);
    void scheduleInstanceFault(std::chrono::milliseconds at);
    void scheduleStoreFault(std::chrono::milliseconds at);
    void schedulePeerFaults();
    void schedulePeerFault(std::chrono::milliseconds at, RandomSource &random);
    void scheduleStoreRestores();
    std::chrono::milliseconds scheduleStoreRestore(std::chrono::milliseconds at, RandomSource &random);
    void restoreStore(std::chrono::milliseconds age, std::chrono::milliseconds operatorDelay, std::uint64_t randomValue);
    void updateStoreAvailability();
    void scheduleOddEntries();
    void writeOddEntry();
    void scheduleForeignEntries();
    void scheduleServerFault(std::chrono::milliseconds at);
    void scheduleConfigChange(std::chrono::milliseconds at);
    void crashServer(std::uint64_t randomValue, bool sameId);
    void drainServer(std::uint64_t randomValue);
    void drainServerAfterRestore(std::uint64_t randomValue);
    bool isReady(const SoakServer &server) const;
    void startTimer(std::chrono::milliseconds delay, std::function<void()> action);
    std::chrono::milliseconds drainToleranceNow() const;
    std::shared_ptr<SoakServer> pickRunningServer(std::uint64_t randomValue) const;
    asio::awaitable<void> superviseInstances();
    asio::awaitable<void> checkReadiness(Node &node);
    void recordDisturbances(Time now);
    Time disturbedAt(Endpoint instance);
    asio::awaitable<void> checkConfiguration(Node &node);
    asio::awaitable<void> checkVersion(Node &node, std::uint64_t version);
    void checkRecovery();
    void runFor(std::chrono::milliseconds time);

    SoakOptions m_options;
    SeededRandom m_random;
    SteadyClock m_clock;
    asio::io_context m_context;
    InvariantChecker m_checker;
    StoreStandin m_store;
    OddWriter m_oddWriter;
    ForeignWriter m_foreignWriter;
    EvacuationOperator m_evacuationOperator;
    RouteOperator m_routeOperator;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::vector<std::shared_ptr<SoakServer>> m_servers;
    std::vector<std::unique_ptr<SoakClient>> m_clients;
    std::vector<SoakRoute> m_routes;
    SoakRoute m_restoredRoute; // that m_routeOperator removes and puts back
    std::vector<std::string> m_schedule;
    std::vector<std::unique_ptr<asio::steady_timer>> m_timers;
    std::map<std::string, nlohmann::json> m_serverSpecs; // by id: what each server wrote last
    nlohmann::json m_configuration; // what the operator wrote last
    std::map<std::uint64_t, Time> m_acknowledgedAt; // by version of the configuration
    std::chrono::milliseconds m_lastFault {}; // end of the last scheduled fault
    Time m_storeDisturbedAt {}; // last time at which the store was seen refusing or away
    Time m_storeLinkDisturbedAt {}; // last time at which connections of any instance to the store were seen with a fault
    std::uint64_t m_version = 1;
    std::uint64_t m_nextServer = 1;
    std::uint32_t m_extraRoutes = 0;
    bool m_storeRefuses = false;
    bool m_storeAway = false;
    bool m_faultsEnded = false; // of the schedule without restores
    bool m_finished = false;
};

} // namespace Samphirepitch::Soak
