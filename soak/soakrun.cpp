#include "soak/soakrun.h"

#include "core/clock.h"
#include "core/hash.h"
#include "objectstore/httpconnection.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/steady_timer.hpp>
#include <asio/use_awaitable.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace Samphirepitch::Soak
{

namespace
{

using std::chrono::milliseconds;
using Json = nlohmann::json;

constexpr std::uint16_t dataPort = 8172;
constexpr std::uint16_t healthPort = 8167;
constexpr std::uint16_t peerPort = 8166;
constexpr std::uint16_t serverPort = 8080;

// Third bytes of the addresses inside the network of a run.
constexpr std::uint32_t instanceGroup = 1;
constexpr std::uint32_t serverGroup = 2;
constexpr std::uint32_t clientGroup = 3;
constexpr std::uint32_t routeGroup = 4;
constexpr std::uint32_t announcedGroup = 5;
constexpr std::uint32_t probeGroup = 6;

// Last bytes of the addresses of routes.
constexpr std::uint32_t extraRouteHost = 3;
constexpr std::uint32_t addedRouteHost = 4;
constexpr std::uint32_t droppedRouteHost = 5;
constexpr std::uint32_t restoredRouteHost = 6;

constexpr std::uint32_t clientHosts = 6;
constexpr std::uint32_t usersPerRoute = 2; // on each client host

constexpr milliseconds startTimeout { 8000 }; // for all instances to become ready at the start
constexpr milliseconds readinessInterval { 250 };
constexpr milliseconds heartbeatTimeout { 3600 }; // the store removes a server after three missed heartbeats of 1,200 ms
constexpr milliseconds addressReuseDelay { 2000 }; // before a server starts at the address of a crashed one
constexpr milliseconds drainDuration { 3000 }; // a draining server may receive new flows for this long
// Added to the drain duration because faults may delay instances; the drain rule covers such an instance only 4 s later.
constexpr milliseconds drainTolerance { 7000 };
constexpr milliseconds stopTimeout { 6000 }; // from SIGTERM to SIGKILL
constexpr std::uint64_t faultSpacing = 700; // milliseconds; upper bound between the begins of faults, short enough for them to overlap
constexpr std::uint64_t peerFaultSpacing = 3000; // milliseconds; the same for the links between instances
constexpr std::uint64_t peerFaultStream = 1; // random stream of its own, so that link faults do not change the rest of a seed's schedule
constexpr std::uint64_t storeRestoreStream = 2; // the same for the store's returns from older copies
constexpr std::uint64_t oddEntryStream = 3; // the same for the entries of another writer
constexpr std::uint64_t oddEntrySpacing = 600; // milliseconds; upper bound between them
constexpr std::uint64_t foreignEntryStream = 4; // the same for sound entries of another writer
constexpr std::uint64_t evacuationStream = 5; // the same for evacuations
constexpr std::uint64_t routeStream = 6; // the same for the route that is removed and put back
constexpr std::uint64_t foreignEntrySpacing = 1200; // milliseconds; upper bound between them
constexpr milliseconds reportInterval { 1200 }; // after which a server writes its entry again
constexpr milliseconds restoreObservation { 9000 }; // after the last return; as long as the bound for a drain that is written again
constexpr milliseconds operatorRewriteTime { 1000 }; // in which the operator writes again after a return
constexpr milliseconds serverRewriteTime { 2000 }; // the same for servers
constexpr milliseconds configurationBound { 3000 }; // from the acknowledgement of a configuration until all instances apply it
constexpr milliseconds stabilityWindow { 4000 }; // time bounds do not hold for this long after a fault
constexpr milliseconds rollbackSlack { 250 }; // reordering of flows around a change of the configuration
constexpr milliseconds disturbedRollbackSlack { 2000 }; // the same within the stability window
constexpr milliseconds configurationCheckInterval { 200 };
constexpr std::uint64_t markedVersions = 64; // more than a run writes
constexpr double minServedRatio = 0.9; // of the requests in the 2 seconds after the recovery time

std::string hex(std::uint64_t value)
{
    std::ostringstream stream;
    stream << std::hex << value;
    return stream.str();
}

} // namespace

/** An instance with the proxies before the store and before the instance, and its state as the fabric and the supervisor see it. */
struct SoakRun::Node {
    Node(const asio::any_io_executor &executor, Endpoint store, Endpoint announced, Endpoint peerAddress, Endpoint probeAddress,
        const SoakOptions &options, std::uint32_t index)
        : number(index)
        , settings(options.folder + "/entry-" + std::to_string(index) + ".toml")
        , peer(peerAddress)
        , proxy(executor, Endpoint(0x7f000001, 0), store)
        , peerProxy(executor, announced, peerAddress)
        , probe(executor, probeAddress)
        , process(options.program, settings, options.folder + "/entry-" + std::to_string(index) + ".log")
    {
        peerProxy.forwardDatagrams();
    }

    /** Returns a name that differs for each process of the instance. */
    std::string processName() const
    {
        return "entry-" + std::to_string(number) + " (process " + std::to_string(starts) + ")";
    }

    bool isDisturbed() const
    {
        return !process.isRunning() || stopping || paused || proxy.mode() != FaultProxy::Mode::Pass
            || peerProxy.mode() != FaultProxy::Mode::Pass;
    }

    std::uint32_t number;
    std::string settings;
    Endpoint peer;
    FaultProxy proxy; // connections of the instance to the store
    FaultProxy peerProxy; // messages of other instances to the instance
    RouteProbe probe;
    InstanceProcess process;
    Endpoint data;
    Endpoint health;
    int missedChecks = 2; // failed readiness checks in a row; from 2 on, the fabric sends no packets to the instance
    bool stopping = false; // after SIGTERM
    bool paused = false;
    int starts = 1;
    Time disturbedAt {}; // last time at which isDisturbed() was seen
    Time killAt {};
    Time restartAt {};
};

SoakRun::SoakRun(SoakOptions options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
    , m_context(1)
    , m_store(m_context.get_executor(), m_clock)
    , m_oddWriter(m_store, SeededRandom(mix64(m_options.seed, oddEntryStream)))
    , m_foreignWriter(m_store, SeededRandom(mix64(m_options.seed, foreignEntryStream)))
    , m_evacuationOperator(m_store, SeededRandom(mix64(m_options.seed, evacuationStream)), m_options.failureDomains)
    , m_routeOperator(SeededRandom(mix64(m_options.seed, routeStream)), [this] { writeConfiguration(); })
{
    std::filesystem::create_directories(m_options.folder);
}

SoakRun::~SoakRun() = default;

std::vector<std::string> SoakRun::execute()
{
    for (std::uint32_t number = 0; number < 2; ++number) {
        m_routes.push_back({ address(routeGroup, 1, static_cast<std::uint16_t>(443 + number)), "pond", number == 0 });
    }
    m_routes.push_back({ address(routeGroup, 2, 443), "tile", true });
    m_restoredRoute = { address(routeGroup, restoredRouteHost, 443), "pond", false };
    writeConfiguration();
    createServers();
    createInstances();
    asio::co_spawn(m_context, superviseInstances(), asio::detached);
    const auto ready = [](const auto &node) { return node->missedChecks == 0; };
    const Time limit = std::chrono::steady_clock::now() + startTimeout;
    while (!std::all_of(m_nodes.begin(), m_nodes.end(), ready) && std::chrono::steady_clock::now() < limit) {
        runFor(milliseconds(50));
    }
    if (!std::all_of(m_nodes.begin(), m_nodes.end(), ready)) {
        m_checker.addViolation("not all instances became ready");
        return m_checker.violations();
    }
    startClients();
    scheduleFaults();
    if (m_options.storeRestores) {
        for (const auto &node : m_nodes) {
            asio::co_spawn(m_context, checkConfiguration(*node), asio::detached);
        }
    }
    const milliseconds observation = m_options.storeRestores ? restoreObservation : m_options.recoveryTime;
    runFor(m_lastFault + (m_options.evacuations ? EvacuationOperator::observationTime : observation));
    checkRecovery();
    m_finished = true;
    return m_checker.violations();
}

Endpoint SoakRun::markerRoute(std::uint32_t host, std::uint64_t version) const
{
    return address(routeGroup, host, static_cast<std::uint16_t>(2000 + version));
}

Endpoint SoakRun::address(std::uint32_t group, std::uint32_t number, std::uint16_t port) const
{
    return { 0x7f400000 + (m_options.network << 16) + (group << 8) + number, port };
}

void SoakRun::createInstances()
{
    for (std::uint32_t number = 1; number <= m_options.instances; ++number) {
        auto node = std::make_unique<Node>(m_context.get_executor(), m_store.address(), address(announcedGroup, number, peerPort),
            address(instanceGroup, number, peerPort), address(probeGroup, number, dataPort), m_options, number);
        node->data = address(instanceGroup, number, dataPort);
        node->health = address(instanceGroup, number, healthPort);
        writeSettings(*node);
        if (!node->process.start()) {
            m_checker.addViolation("an instance could not be started");
        }
        m_nodes.push_back(std::move(node));
    }
}

void SoakRun::writeSettings(const Node &node) const
{
    std::ofstream file(node.settings);
    file << "deployment = \"soak\"\n[instance]\nid = \"entry-" << node.number << "\"\nfailure_domain = \"d"
         << node.number % m_options.failureDomains << "\"\n[peer]\naddress = \"" << node.peer.toString() << "\"\nannounced_address = \""
         << node.peerProxy.address().toString() << "\"\nseeds = [\"" << address(announcedGroup, 1, peerPort).toString() << "\", \""
         << address(announcedGroup, 2, peerPort).toString() << "\"]\n[data]\npackets = \"stream\"\naddress = \"" << node.data.toString()
         << "\"\n[platform]\naddress = \"" << node.proxy.address().toString() << "\"\n[health]\naddress = \"" << node.health.toString()
         << "\"\n[stop]\ntimeout_ms = 4000\nlinger_ms = 2500\n[events]\nrate = 200\n"
         << (m_options.evacuations ? "[evacuation]\nenabled = true\n" : "");
}

void SoakRun::createServers()
{
    for (std::uint32_t index = 0; index < m_options.serversPerService * 2; ++index) {
        startServer("i-" + hex(0x1000 + m_nextServer++), index % 2 == 0 ? "pond" : "tile", address(serverGroup, index + 1, serverPort),
            "d" + std::to_string(index / 2 % m_options.failureDomains));
    }
}

void SoakRun::startServer(const std::string &id, const std::string &service, Endpoint address, const std::string &failureDomain)
{
    auto server = SoakServer::start(m_context.get_executor(), m_checker, *this, m_random, id, service, address, dataPort);
    m_servers.push_back(server);
    writeServer(server, failureDomain, false);
}

void SoakRun::writeServer(const std::shared_ptr<SoakServer> &server, const std::string &failureDomain, bool draining)
{
    server->setFailureDomain(failureDomain);
    m_serverSpecs[server->id()] = { { "service", server->service() }, { "address", server->address().toString() },
        { "zone", failureDomain }, { "version", "v1" }, { "slots", 2 }, { "state", draining ? "draining" : "ready" },
        { "cold_remaining_ms", 0 }, { "sequence", 1 }, { "born", server->startedAt() } };
    m_store.put("servers", server->id(), m_serverSpecs[server->id()]);
}

void SoakRun::writeConfiguration()
{
    Json routes = Json::array();
    const auto add = [&routes](const std::string &name, Endpoint at, const std::string &service, bool idempotent) {
        const std::string text = at.toString();
        routes.push_back({ { "name", name }, { "hostname", text.substr(0, text.find(':')) },
            { "path_prefix", "/" + std::to_string(at.port()) + "/" }, { "kind", idempotent ? "safe" : "unsafe" }, { "service", service } });
    };
    for (std::size_t index = 0; index < m_routes.size(); ++index) {
        add("r-" + std::to_string(index), m_routes[index].address, m_routes[index].service, m_routes[index].idempotent);
    }
    for (std::uint32_t extraRoute = 0; extraRoute < m_extraRoutes; ++extraRoute) {
        add("x-" + std::to_string(extraRoute), address(routeGroup, extraRouteHost, static_cast<std::uint16_t>(1000 + extraRoute)), "tile",
            true);
    }
    if (m_options.restoredRoutes && !m_routeOperator.isRemoved()) {
        add("restored", m_restoredRoute.address, m_restoredRoute.service, m_restoredRoute.idempotent);
    }
    ++m_version;
    if (m_options.storeRestores) {
        // Each version adds one route and drops one, so that the routes of an instance show its version.
        for (std::uint64_t version = 1; version <= markedVersions; ++version) {
            add("v-" + std::to_string(version), markerRoute(version <= m_version ? addedRouteHost : droppedRouteHost, version), "tile",
                true);
        }
    }
    // While a route can't be read, no missing one is taken for a removed one, so some versions have only routes that can be read.
    const bool hasOddRoutes = !m_options.restoredRoutes || m_version % 4 == 0;
    if (m_options.oddEntries && hasOddRoutes) {
        routes.push_back(
            { { "name", "odd-1" }, { "hostname", "pond.example" }, { "path_prefix", "/443/" }, { "kind", "safe" }, { "service", "pond" } });
        routes.push_back(
            { { "name", "odd-2" }, { "hostname", "198.18.0.1" }, { "path_prefix", "/1/" }, { "kind", "relay" }, { "service", "nobody" } });
        routes.push_back(7);
    }
    m_configuration = { { "version", m_version }, { "routes", routes }, { "services", { { { "name", "pond" } }, { { "name", "tile" } } } },
        { "limits", { { "idle_timeout_ms", 15000 } } } };
    m_store.put("config", "main", m_configuration);
    m_acknowledgedAt[m_version] = std::chrono::steady_clock::now();
    m_routeOperator.recordVersion(m_acknowledgedAt[m_version]);
}

void SoakRun::startClients()
{
    for (std::uint32_t host = 1; host <= clientHosts; ++host) {
        m_clients.push_back(std::make_unique<SoakClient>(
            m_context.get_executor(), m_checker, m_random, *this, address(clientGroup, host, dataPort), m_options.reusedPorts));
        std::vector<SoakRoute> routes = m_routes;
        if (m_options.restoredRoutes) {
            routes.push_back(m_restoredRoute);
        }
        for (const SoakRoute &route : routes) {
            for (std::uint32_t user = 0; user < usersPerRoute; ++user) {
                m_clients.back()->startUser(route);
            }
        }
    }
}

void SoakRun::scheduleFaults()
{
    milliseconds at(500);
    while (at < m_options.faultDuration) {
        switch (m_random.below(5)) {
        case 0:
        case 1:
            scheduleInstanceFault(at);
            break;
        case 2:
            scheduleStoreFault(at);
            break;
        case 3:
            scheduleServerFault(at);
            break;
        default:
            scheduleConfigChange(at);
        }
        at += milliseconds(m_random.below(faultSpacing));
    }
    if (m_options.peerLinks) {
        schedulePeerFaults();
    }
    m_lastFault = m_options.faultDuration;
    if (m_options.storeRestores) {
        scheduleStoreRestores();
    }
    if (m_options.oddEntries) {
        scheduleOddEntries();
    }
    if (m_options.foreignEntries) {
        scheduleForeignEntries();
    }
    if (m_options.evacuations) {
        for (ScheduledStep &step : m_evacuationOperator.plan(m_options.faultDuration, m_lastFault)) {
            scheduleAction(step.at, step.description, std::move(step.action));
        }
    }
    if (m_options.restoredRoutes) {
        for (ScheduledStep &step : m_routeOperator.plan(m_options.faultDuration)) {
            scheduleAction(step.at, step.description, std::move(step.action));
        }
    }
    // Ends the faults that are still active, for the recovery time.
    scheduleAction(m_options.faultDuration, "all faults end", [this] {
        m_faultsEnded = true;
        m_storeRefuses = false;
        updateStoreAvailability();
        for (const auto &node : m_nodes) {
            node->proxy.setMode(FaultProxy::Mode::Pass);
            node->peerProxy.setMode(FaultProxy::Mode::Pass);
        }
    });
}

void SoakRun::scheduleAction(milliseconds at, const std::string &what, std::function<void()> action)
{
    m_schedule.push_back(std::to_string(at.count()) + " ms: " + what);
    startTimer(at, std::move(action));
}

void SoakRun::scheduleInstanceFault(milliseconds at)
{
    Node &node = *m_nodes[m_random.below(m_nodes.size())];
    const milliseconds time(200 + m_random.below(2800));
    const std::string name = "entry-" + std::to_string(node.number);
    switch (m_random.below(4)) {
    case 0:
        scheduleAction(at, name + " is killed", [&node, time] {
            node.process.signal(SIGKILL);
            node.restartAt = std::chrono::steady_clock::now() + time;
        });
        break;
    case 1:
        scheduleAction(at, name + " is stopped and started again", [&node, time] {
            // A second SIGTERM would end the process at once, without completing its graceful stop.
            if (node.stopping || !node.process.isRunning()) {
                return;
            }
            node.stopping = true;
            node.process.signal(SIGTERM);
            node.killAt = std::chrono::steady_clock::now() + stopTimeout;
            node.restartAt = std::chrono::steady_clock::now() + time;
        });
        break;
    case 2:
        scheduleAction(at, name + " is paused for " + std::to_string(time.count()) + " ms", [&node] {
            node.paused = true;
            node.process.signal(SIGSTOP);
        });
        scheduleAction(at + time, name + " is resumed", [&node] {
            node.paused = false;
            node.process.signal(SIGCONT);
        });
        break;
    default:
        if (m_random.below(4) != 0) {
            scheduleAction(at, name + " gets the signal to reload its settings", [&node] { node.process.signal(SIGHUP); });
            break;
        }
        scheduleAction(at, "all instances are killed", [this, time] {
            for (const auto &each : m_nodes) {
                each->process.signal(SIGKILL);
                each->restartAt = std::chrono::steady_clock::now() + time / 2;
            }
        });
    }
}

void SoakRun::scheduleStoreFault(milliseconds at)
{
    constexpr std::array modes { FaultProxy::Mode::Delay, FaultProxy::Mode::DropResponses, FaultProxy::Mode::Blackhole,
        FaultProxy::Mode::Reset };
    const FaultProxy::Mode mode = modes[m_random.below(modes.size())];
    const milliseconds time(500 + m_random.below(4000));
    const bool forAll = m_random.below(2) == 0;
    const std::size_t randomValue = m_random.below(m_nodes.size());
    if (m_random.below(4) == 0) {
        const auto set = [this](bool refuses) {
            m_storeRefuses = refuses;
            updateStoreAvailability();
        };
        scheduleAction(at, "the store responds with 503", [set] { set(true); });
        scheduleAction(at + time, "the store responds normally again", [set] { set(false); });
        return;
    }
    if (m_random.below(4) == 0) {
        scheduleAction(at, "the store drops its history", [this] { m_store.compact(); });
        return;
    }
    const auto set = [this, forAll, randomValue](FaultProxy::Mode to) {
        for (std::size_t index = 0; index < m_nodes.size(); ++index) {
            if (forAll || index == randomValue) {
                m_nodes[index]->proxy.setMode(to);
            }
        }
    };
    const std::string affected = forAll ? "all instances" : "entry-" + std::to_string(m_nodes[randomValue]->number);
    scheduleAction(
        at, "connections of " + affected + " to the store: mode " + std::to_string(static_cast<int>(mode)), [set, mode] { set(mode); });
    scheduleAction(at + time, "connections of " + affected + " to the store are forwarded again", [set] { set(FaultProxy::Mode::Pass); });
}

void SoakRun::schedulePeerFaults()
{
    SeededRandom random(mix64(m_options.seed, peerFaultStream));
    milliseconds at(random.below(peerFaultSpacing));
    while (at < m_options.faultDuration) {
        schedulePeerFault(at, random);
        at += milliseconds(random.below(peerFaultSpacing));
    }
}

void SoakRun::schedulePeerFault(milliseconds at, RandomSource &random)
{
    constexpr std::array modes { FaultProxy::Mode::Delay, FaultProxy::Mode::DropResponses, FaultProxy::Mode::Blackhole,
        FaultProxy::Mode::Reset };
    const FaultProxy::Mode mode = modes[random.below(modes.size())];
    const milliseconds time(500 + random.below(4000));
    // Affects messages to some instances but not those that they send, so that the partition is one-way.
    const std::size_t first = random.below(m_nodes.size());
    const std::size_t count = 1 + random.below(m_nodes.size());
    const auto set = [this, first, count](FaultProxy::Mode to) {
        for (std::size_t index = 0; index < count; ++index) {
            m_nodes[(first + index) % m_nodes.size()]->peerProxy.setMode(to);
        }
    };
    const std::string affected = std::to_string(count) + " instances from entry-" + std::to_string(m_nodes[first]->number);
    scheduleAction(at, "peer messages to " + affected + ": mode " + std::to_string(static_cast<int>(mode)), [set, mode] { set(mode); });
    scheduleAction(at + time, "peer messages to " + affected + " are forwarded again", [set] { set(FaultProxy::Mode::Pass); });
}

void SoakRun::scheduleStoreRestores()
{
    SeededRandom random(mix64(m_options.seed, storeRestoreStream));
    // One return among the other faults, and one after them, when the bounds for planned changes can be checked.
    scheduleStoreRestore(milliseconds(2000 + random.below(5000)), random);
    m_lastFault = scheduleStoreRestore(m_options.faultDuration + milliseconds(random.below(1500)), random);
}

milliseconds SoakRun::scheduleStoreRestore(milliseconds at, RandomSource &random)
{
    const milliseconds returnsAt = at + milliseconds(1000 + random.below(1001));
    // The first servers and the first configuration, which were written before the schedule, are in each copy.
    const milliseconds age = std::min(milliseconds(2000 + random.below(7001)), returnsAt);
    const milliseconds operatorDelay(random.below(operatorRewriteTime.count()));
    const std::uint64_t randomValue = random.next();
    scheduleAction(at, "the store is away", [this] {
        m_storeAway = true;
        updateStoreAvailability();
    });
    scheduleAction(returnsAt, "the store returns from a copy that is " + std::to_string(age.count()) + " ms old",
        [this, age, operatorDelay, randomValue] { restoreStore(age, operatorDelay, randomValue); });
    for (int change = 0; change < 2; ++change) {
        scheduleAction(
            returnsAt + milliseconds(random.below(3000)), "a route is added and another one dropped", [this] { writeConfiguration(); });
    }
    scheduleAction(returnsAt + milliseconds(random.below(1000)), "a server drains and stays",
        [this, randomValue] { drainServerAfterRestore(randomValue); });
    return returnsAt;
}

void SoakRun::scheduleOddEntries()
{
    SeededRandom random(mix64(m_options.seed, oddEntryStream));
    // The last entries stay until the end of the run.
    for (milliseconds at(200); at < m_options.faultDuration; at += milliseconds(random.below(oddEntrySpacing))) {
        scheduleAction(at, "another writer leaves an odd entry", [this] { writeOddEntry(); });
    }
}

void SoakRun::scheduleForeignEntries()
{
    SeededRandom random(mix64(m_options.seed, foreignEntryStream));
    for (milliseconds at(300); at < m_options.faultDuration; at += milliseconds(random.below(foreignEntrySpacing))) {
        scheduleAction(at, "another writer leaves a sound entry", [this] {
            std::vector<std::string> ids;
            for (const auto &server : m_servers) {
                if (server->isRunning()) {
                    ids.push_back(server->id());
                }
            }
            m_foreignWriter.write(ids, m_serverSpecs, m_clock.wallNow());
        });
    }
    scheduleAction(m_options.faultDuration, "the other writer removes its entries", [this] { m_foreignWriter.removeAll(); });
}

void SoakRun::writeOddEntry()
{
    std::vector<std::string> ids;
    for (const auto &server : m_servers) {
        if (server->isRunning()) {
            ids.push_back(server->id());
        }
    }
    const std::string id = m_oddWriter.write(ids);
    if (id.empty()) {
        return;
    }
    startTimer(reportInterval, [this, id] {
        const bool isRunning = std::any_of(
            m_servers.begin(), m_servers.end(), [&id](const auto &server) { return server->id() == id && server->isRunning(); });
        if (isRunning) {
            m_store.put("servers", id, m_serverSpecs[id]);
        } else {
            m_store.remove("servers", id);
        }
    });
}

void SoakRun::restoreStore(milliseconds age, milliseconds operatorDelay, std::uint64_t randomValue)
{
    m_store.restore(age);
    m_storeAway = false;
    m_storeDisturbedAt = std::chrono::steady_clock::now();
    m_routeOperator.recordStoreReturn(m_storeDisturbedAt);
    updateStoreAvailability();
    startTimer(operatorDelay, [this] {
        const std::uint64_t revision = m_store.revision();
        if (m_store.put("config", "main", m_configuration) != revision) {
            m_acknowledgedAt[m_version] = std::chrono::steady_clock::now();
            m_routeOperator.recordStoreReturn(m_acknowledgedAt[m_version]);
            m_routeOperator.recordVersion(m_acknowledgedAt[m_version]);
        }
        m_evacuationOperator.writeAgain();
    });
    for (const auto &server : m_servers) {
        randomValue = mix64(randomValue, server->address().address());
        startTimer(milliseconds(randomValue % static_cast<std::uint64_t>(serverRewriteTime.count())), [this, server] {
            if (!server->isRunning()) {
                return;
            }
            const std::uint64_t revision = m_store.revision();
            if (m_store.put("servers", server->id(), m_serverSpecs[server->id()]) != revision && !isReady(*server)) {
                server->setDrainDeadline(std::chrono::steady_clock::now() + drainDuration + drainToleranceNow());
            }
        });
        // Entries that were removed before the return expire again.
        startTimer(heartbeatTimeout, [this, server] {
            const bool running = std::any_of(m_servers.begin(), m_servers.end(),
                [&server](const auto &other) { return other->id() == server->id() && other->isRunning(); });
            if (!running) {
                m_store.remove("servers", server->id());
            }
        });
    }
}

void SoakRun::updateStoreAvailability()
{
    m_store.setUnavailable(m_storeRefuses || m_storeAway);
}

void SoakRun::scheduleServerFault(milliseconds at)
{
    const std::uint64_t randomValue = m_random.next();
    switch (m_random.below(3)) {
    case 0:
        scheduleAction(at, "a server crashes and another one gets its address", [this, randomValue] { crashServer(randomValue, false); });
        break;
    case 1:
        scheduleAction(at, "a server crashes and starts again under its id", [this, randomValue] { crashServer(randomValue, true); });
        break;
    default:
        scheduleAction(at, "a server drains and leaves", [this, randomValue] { drainServer(randomValue); });
    }
}

void SoakRun::scheduleConfigChange(milliseconds at)
{
    const auto extraRoutes = static_cast<std::uint32_t>(m_random.below(200));
    scheduleAction(at, "the configuration has " + std::to_string(extraRoutes) + " additional routes", [this, extraRoutes] {
        m_extraRoutes = extraRoutes;
        writeConfiguration();
    });
}

std::shared_ptr<SoakServer> SoakRun::pickRunningServer(std::uint64_t randomValue) const
{
    std::vector<std::shared_ptr<SoakServer>> running;
    std::copy_if(m_servers.begin(), m_servers.end(), std::back_inserter(running), [](const auto &server) { return server->isRunning(); });
    // Keeps half of all servers running, so that the final check can succeed.
    if (running.size() <= m_options.serversPerService) {
        return nullptr;
    }
    return running[randomValue % running.size()];
}

void SoakRun::crashServer(std::uint64_t randomValue, bool sameId)
{
    const auto server = pickRunningServer(randomValue);
    if (!server) {
        return;
    }
    server->crash();
    const std::string id = sameId ? server->id() : "i-" + hex(0x1000 + m_nextServer++);
    const std::string service = sameId || randomValue % 2 == 0 ? server->service() : (server->service() == "pond" ? "tile" : "pond");
    m_timers.push_back(std::make_unique<asio::steady_timer>(m_context, heartbeatTimeout));
    if (!sameId) {
        m_timers.back()->async_wait([this, server](std::error_code) { m_store.remove("servers", server->id()); });
    }
    m_timers.push_back(std::make_unique<asio::steady_timer>(m_context, addressReuseDelay));
    m_timers.back()->async_wait([this, id, service, server, randomValue](std::error_code error) {
        if (!error) {
            startServer(id, service, server->address(), "d" + std::to_string(randomValue % m_options.failureDomains));
        }
    });
}

void SoakRun::drainServer(std::uint64_t randomValue)
{
    const auto server = pickRunningServer(randomValue);
    if (!server) {
        return;
    }
    writeServer(server, "d0", true);
    server->setDrainDeadline(std::chrono::steady_clock::now() + drainDuration + drainTolerance);
    m_timers.push_back(std::make_unique<asio::steady_timer>(m_context, drainDuration + drainTolerance / 2));
    m_timers.back()->async_wait([this, server](std::error_code error) {
        if (!error && server->isRunning()) {
            server->crash();
            m_store.remove("servers", server->id());
        }
    });
}

void SoakRun::drainServerAfterRestore(std::uint64_t randomValue)
{
    constexpr int minReadyServers = 3; // of the service, so that others can take its flows
    std::vector<std::shared_ptr<SoakServer>> candidates;
    for (const auto &server : m_servers) {
        const auto ready = std::count_if(m_servers.begin(), m_servers.end(),
            [&](const auto &other) { return other->service() == server->service() && isReady(*other); });
        if (isReady(*server) && ready >= minReadyServers) {
            candidates.push_back(server);
        }
    }
    if (candidates.empty()) {
        return;
    }
    const auto &server = candidates[randomValue % candidates.size()];
    writeServer(server, m_serverSpecs[server->id()]["zone"], true);
    server->setDrainDeadline(std::chrono::steady_clock::now() + drainDuration + drainToleranceNow());
}

bool SoakRun::isReady(const SoakServer &server) const
{
    return server.isRunning() && m_serverSpecs.at(server.id()).at("state") == "ready";
}

milliseconds SoakRun::drainToleranceNow() const
{
    return m_faultsEnded ? stabilityWindow : drainTolerance;
}

void SoakRun::startTimer(milliseconds delay, std::function<void()> action)
{
    m_timers.push_back(std::make_unique<asio::steady_timer>(m_context, delay));
    m_timers.back()->async_wait([action = std::move(action)](std::error_code error) {
        if (!error) {
            action();
        }
    });
}

void SoakRun::recordDisturbances(Time now)
{
    if (m_storeRefuses || m_storeAway) {
        m_storeDisturbedAt = now;
    }
    for (const auto &node : m_nodes) {
        if (node->proxy.mode() != FaultProxy::Mode::Pass) {
            m_storeLinkDisturbedAt = now;
        }
        if (node->isDisturbed()) {
            node->disturbedAt = now;
        }
    }
}

asio::awaitable<void> SoakRun::checkConfiguration(Node &node)
{
    asio::steady_timer timer(m_context);
    while (!m_finished) {
        const std::uint64_t applied = m_checker.appliedVersion(node.processName());
        co_await checkVersion(node, m_version);
        if (applied != 0 && applied != m_version) {
            co_await checkVersion(node, applied);
        }
        timer.expires_after(configurationCheckInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

asio::awaitable<void> SoakRun::checkVersion(Node &node, std::uint64_t version)
{
    using Response = RouteProbe::Response;
    const std::string process = node.processName();
    const Endpoint permanentRoute = m_routes.back().address;
    const Response before = co_await node.probe.open(node.data, permanentRoute);
    const Time addedOpenedAt = std::chrono::steady_clock::now();
    const Response added = co_await node.probe.open(node.data, markerRoute(addedRouteHost, version));
    const Time addedSeenAt = std::chrono::steady_clock::now();
    const Response dropped = co_await node.probe.open(node.data, markerRoute(droppedRouteHost, version));
    const Response after = co_await node.probe.open(node.data, permanentRoute);
    if (process != node.processName()) {
        co_return;
    }
    const auto recordOlder = [&](Time openedAt) {
        const Time calmAt = node.disturbedAt + stabilityWindow;
        const Time dueAt = std::max({ m_acknowledgedAt[version] + configurationBound, calmAt, m_storeDisturbedAt + stabilityWindow });
        m_checker.recordOlderVersion(process, version, openedAt, dueAt, openedAt > calmAt ? rollbackSlack : disturbedRollbackSlack);
    };
    if (added == Response::Accepted) {
        m_checker.recordAppliedVersion(process, version, addedSeenAt);
    }
    // An instance also resets flows for which no server is left; then it refuses the permanent route of the same service too.
    if (added == Response::Refused && before == Response::Accepted && after == Response::Accepted) {
        recordOlder(addedOpenedAt);
    }
    if (dropped == Response::Accepted) {
        recordOlder(addedSeenAt);
    }
}

asio::awaitable<void> SoakRun::superviseInstances()
{
    asio::steady_timer timer(m_context);
    while (!m_finished) {
        const Time now = std::chrono::steady_clock::now();
        recordDisturbances(now);
        for (const auto &node : m_nodes) {
            if (const auto code = node->process.reap()) {
                const bool killed = *code == 128 + SIGKILL;
                if (!killed && !(node->stopping && *code == 0)) {
                    m_checker.addViolation("entry-" + std::to_string(node->number) + " exited with code " + std::to_string(*code));
                }
                if (killed && node->stopping && now >= node->killAt && !node->paused) {
                    m_checker.addViolation("entry-" + std::to_string(node->number) + " did not exit in time after SIGTERM");
                }
                node->stopping = false;
                node->paused = false;
            }
            if (node->stopping && now >= node->killAt) {
                node->process.signal(SIGKILL);
            }
            if (!node->process.isRunning() && now >= node->restartAt) {
                node->process.start();
                ++node->starts;
                node->disturbedAt = now;
            }
            asio::co_spawn(m_context, checkReadiness(*node), asio::detached);
        }
        timer.expires_after(readinessInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

asio::awaitable<void> SoakRun::checkReadiness(Node &node)
{
    const SteadyClock clock;
    HttpConnection connection(m_context.get_executor(), clock, node.health);
    HttpRequest request;
    request.target = "/healthz";
    const Result<HttpResponse> response = co_await connection.exchange(std::move(request), clock.now() + readinessInterval);
    connection.close();
    node.missedChecks = response && response->status == 200 ? 0 : node.missedChecks + 1;
}

Endpoint SoakRun::instanceFor(Endpoint client, Endpoint service) const
{
    std::vector<const Node *> candidates; // the ready instances, or all if fewer than half are ready
    for (const auto &node : m_nodes) {
        if (node->missedChecks < 2) {
            candidates.push_back(node.get());
        }
    }
    if (candidates.size() * 2 < m_nodes.size()) {
        candidates.clear();
        for (const auto &node : m_nodes) {
            candidates.push_back(node.get());
        }
    }
    const std::uint64_t hash
        = mix64(std::uint64_t { client.address() } << 16 | client.port(), std::uint64_t { service.address() } << 16 | service.port());
    return candidates[hash % candidates.size()]->data;
}

bool SoakRun::isResetViolation(Endpoint client, Endpoint service, std::uint32_t openingSequence, Time begunAt) const
{
    // A flow may be reset if its route was removed after it began.
    if (service == m_restoredRoute.address && m_routeOperator.wasRemovedSince(begunAt)) {
        return false;
    }
    return std::any_of(
        m_servers.begin(), m_servers.end(), [&](const auto &server) { return server->holdsFlow(client, service, openingSequence); });
}

void SoakRun::flowAccepted(const SoakServer &server, Endpoint route, Endpoint instance)
{
    const Time now = std::chrono::steady_clock::now();
    if (const auto removedAt = m_routeOperator.removedSince(); removedAt && route == m_restoredRoute.address) {
        const Time dueAt = std::max(*removedAt + configurationBound, disturbedAt(instance) + stabilityWindow);
        m_checker.recordFlowOnRemovedRoute(server.id(), now, *removedAt, dueAt);
    }
    if (const auto acceptedAt = m_evacuationOperator.acceptedAt(server.failureDomain())) {
        m_checker.recordFlowInEvacuatedDomain(
            server.id(), server.failureDomain(), now, std::max(*acceptedAt, server.failureDomainSince()), disturbedAt(instance));
    }
}

SoakRun::Time SoakRun::disturbedAt(Endpoint instance)
{
    recordDisturbances(std::chrono::steady_clock::now());
    Time disturbed = std::max(m_storeDisturbedAt, m_storeLinkDisturbedAt);
    for (const auto &node : m_nodes) {
        if (node->data == instance) {
            disturbed = std::max(disturbed, node->disturbedAt);
        }
    }
    return disturbed;
}

void SoakRun::checkRecovery()
{
    constexpr milliseconds observationTime { 2000 };
    const std::uint64_t served = m_checker.servedCount();
    const std::uint64_t failed = m_checker.failedCount();
    runFor(observationTime);
    const double servedAtEnd = static_cast<double>(m_checker.servedCount() - served);
    const double failedAtEnd = static_cast<double>(m_checker.failedCount() - failed);
    if (servedAtEnd < 1 || servedAtEnd / (servedAtEnd + failedAtEnd) < minServedRatio) {
        m_checker.addViolation("after the end of all faults, " + std::to_string(static_cast<int>(servedAtEnd))
            + " requests were served and " + std::to_string(static_cast<int>(failedAtEnd)) + " failed");
    }
    for (const auto &node : m_nodes) {
        if (node->missedChecks > 0) {
            m_checker.addViolation("entry-" + std::to_string(node->number) + " is not ready after the end of all faults");
        }
    }
}

void SoakRun::runFor(milliseconds time)
{
    m_context.run_for(time);
}

const std::vector<std::string> &SoakRun::schedule() const
{
    return m_schedule;
}

std::uint64_t SoakRun::servedCount() const
{
    return m_checker.servedCount();
}

std::uint64_t SoakRun::failedCount() const
{
    return m_checker.failedCount();
}

} // namespace Samphirepitch::Soak
