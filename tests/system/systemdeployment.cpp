#include "system/systemdeployment.h"

#include "model/configreader.h"
#include "objectstore/platformfixture.h"
#include "objectstore/publisher.h"

#include <filesystem>
#include <unistd.h>

namespace Samphirepitch::Testing
{

namespace
{

constexpr std::size_t serversPerPool = 6; // two in each failure domain, so that one of them can be drained

// Ports below the ephemeral range, so that no outgoing connection of the machine occupies one of them.
constexpr std::size_t deskPort = 7001;
constexpr std::size_t tilesPort = 7002;
constexpr std::size_t peerPort = 7100;
constexpr std::size_t dataPort = 7200;
constexpr std::size_t backPort = 7250;
constexpr std::size_t fabricPort = 7300;
constexpr std::size_t platformPort = 7400;
constexpr std::size_t metricsPort = 7500;
constexpr std::size_t serverPort = 9000;
constexpr std::size_t healthPort = 9100;

// Time between repetitions of an incomplete request; long enough not to overload instances on a busy machine.
constexpr std::chrono::milliseconds repeatInterval { 500 };

const std::array<std::string, 3> domains { "north", "middle", "south" };

std::string quoted(const Endpoint &endpoint)
{
    return '"' + endpoint.toString() + '"';
}

std::string policyText(const std::string &name, const std::string &method)
{
    return "[[policy]]\nname = \"" + name + "\"\nidempotent_methods = [\"" + method
        + "\"]\nrequest_timeout_ms = 2000\nrepeat_window_ms = 5000\nqueue_limit = 256\nretry_budget_percent = 10\n"
          "drain_timeout_ms = 600000\nflow_idle_timeout_ms = 300000\n";
}

std::string serviceText(const std::string &name, const Endpoint &address, const std::string &affinity)
{
    return "[[service]]\nname = \"" + name + "\"\naddress = " + quoted(address) + "\nprotocol = \"rpc\"\naffinity = \"" + affinity
        + "\"\npool = \"" + name + "\"\npolicy = \"" + name + "\"\n";
}

} // namespace

SystemDeployment::SystemDeployment()
    // 127.64.0.0/10 has one address for each of the 2^22 process ids.
    : m_address(0x7f400000U | (static_cast<std::uint32_t>(::getpid()) & 0x3fffffU))
    , m_logFile((std::filesystem::temp_directory_path() / ("samphirepitch-system-" + std::to_string(::getpid()) + ".log")).string())
{
    const auto executor = m_context.get_executor();
    m_platformServer = HttpServer::listen(executor, loopbackEndpoint(platformPort), m_platform).value();
    m_client = HttpPlatform::create(executor, m_clock, loopbackEndpoint(platformPort)).value();
    StandIn::FabricStandIn::Options options;
    options.services = { deskAddress(), tilesAddress() };
    options.returnAddress = loopbackEndpoint(fabricPort);
    options.seed = seed;
    m_fabric = StandIn::FabricStandIn::start(executor, options).value();
    StandIn::BackendStandIn::Options defaults;
    defaults.seed = seed;
    const auto members = StandIn::BackendGroup::membersFromConfig(config({}), "", defaults).value();
    m_servers = StandIn::BackendGroup::start(executor, m_clock, members).value();
}

SystemDeployment::~SystemDeployment()
{
    m_instances.clear();
    m_callers.clear();
    m_fabric->stop();
    m_platformServer->stop();
    std::error_code ignored;
    std::filesystem::remove(m_logFile, ignored);
}

std::uint64_t SystemDeployment::publish(const std::set<std::string> &drained)
{
    SteadyTimer timer(m_clock);
    SeededRandom random { seed };
    Publisher publisher(*m_client, m_clock, timer, random);
    ApplyRequest request;
    request.set = config(drained);
    request.changeId = "change-" + std::to_string(++m_changes);
    request.author = "system-test";
    request.deadline = m_clock.now() + testTimeout;
    std::optional<ApplyOutcome> outcome;
    asio::co_spawn(m_context, publisher.apply(std::move(request)),
        [&outcome](const std::exception_ptr &, ApplyOutcome result) { outcome = std::move(result); });
    REQUIRE(runUntil([&outcome] { return outcome.has_value(); }));
    for (const Finding &finding : outcome->findings) {
        UNSCOPED_INFO(finding.object << ' ' << finding.field << ' ' << finding.value);
    }
    REQUIRE(outcome->status == ApplyStatus::Accepted);
    return outcome->generation;
}

void SystemDeployment::start(std::size_t index)
{
    const Settings chosen = settings(index);
    const Settings::Fields &values = chosen.values();
    m_platform.instances().put({ values.instanceId, values.failureDomain, values.peerAddress, values.dataAddress, false }, m_clock.now());
    m_instances[index] = std::make_unique<InstanceHost>(m_clock, chosen);
}

void SystemDeployment::startAll(std::uint64_t generation, std::size_t except)
{
    for (std::size_t index = 0; index < instanceCount; ++index) {
        if (index != except) {
            start(index);
        }
    }
    setFabricInstances(runningInstances());
    const std::vector<std::size_t> started = runningInstances();
    REQUIRE(runUntil([&] { return std::all_of(started.begin(), started.end(), [this](std::size_t index) { return isServing(index); }); }));
    REQUIRE(waitForMetric(started, "samphirepitch_generation_held", static_cast<double>(generation)));
    REQUIRE(waitForMetric(started, "samphirepitch_members", static_cast<double>(started.size())));
}

void SystemDeployment::kill(std::size_t index)
{
    m_instances[index].reset();
}

void SystemDeployment::setFabricInstances(const std::vector<std::size_t> &indexes)
{
    std::vector<Endpoint> addresses;
    addresses.reserve(indexes.size());
    for (const std::size_t index : indexes) {
        addresses.push_back(loopbackEndpoint(dataPort + index));
    }
    m_fabric->setInstances(addresses);
}

bool SystemDeployment::runUntil(const std::function<bool()> &done)
{
    const TimePoint deadline = m_clock.now() + testTimeout;
    while (!done() && m_clock.now() < deadline) {
        if (pollAll() == 0) {
            m_context.restart();
            m_context.run_one_for(std::chrono::milliseconds(1));
        }
    }
    return done();
}

bool SystemDeployment::repeatUntilComplete()
{
    TimePoint repeatAt = m_clock.now() + repeatInterval;
    return runUntil([&] {
        const bool isTime = m_clock.now() >= repeatAt;
        bool complete = true;
        for (const auto &caller : m_callers) {
            complete = complete && caller->incompleteRequests() == 0;
            for (const auto &[id, request] : caller->requests()) {
                if (isTime && !request.isComplete()) {
                    caller->repeat(id);
                }
            }
        }
        repeatAt = isTime ? m_clock.now() + repeatInterval : repeatAt;
        return complete;
    });
}

bool SystemDeployment::waitForMetric(const std::vector<std::size_t> &indexes, const std::string &name, double value)
{
    const TimePoint deadline = m_clock.now() + testTimeout;
    const auto shows = [&](std::size_t index) { return metric(index, name) == value; };
    while (!std::all_of(indexes.begin(), indexes.end(), shows)) {
        if (m_clock.now() >= deadline) {
            return false;
        }
    }
    return true;
}

double SystemDeployment::metric(std::size_t index, const std::string &name)
{
    const std::string text = sendHttpRequest(metricsPort + index, "GET /metrics");
    const std::size_t place = text.find('\n' + name + ' ');
    return place == std::string::npos ? 0 : std::stod(text.substr(place + name.size() + 2));
}

double SystemDeployment::metricSum(const std::string &name)
{
    double sum = 0;
    for (const std::size_t index : runningInstances()) {
        sum += metric(index, name);
    }
    return sum;
}

bool SystemDeployment::waitForMetricSum(const std::string &name, double least)
{
    const TimePoint deadline = m_clock.now() + testTimeout;
    double sum = metricSum(name);
    while (sum < least && m_clock.now() < deadline) {
        sum = metricSum(name);
    }
    return sum >= least;
}

SystemCaller &SystemDeployment::addCaller()
{
    return *m_callers.emplace_back(std::make_unique<SystemCaller>(m_context.get_executor(), m_address));
}

const std::vector<std::unique_ptr<SystemCaller>> &SystemDeployment::callers() const
{
    return m_callers;
}

void SystemDeployment::postToPlatform(const std::string &path)
{
    sendHttpRequest(platformPort, "POST " + path);
}

std::vector<std::size_t> SystemDeployment::runningInstances() const
{
    std::vector<std::size_t> indexes;
    for (std::size_t index = 0; index < m_instances.size(); ++index) {
        if (m_instances[index]) {
            indexes.push_back(index);
        }
    }
    return indexes;
}

bool SystemDeployment::isServing(std::size_t index) const
{
    return m_instances[index]->instance().isServing();
}

StandIn::PlatformStandIn &SystemDeployment::platform()
{
    return m_platform;
}

StandIn::FabricStandIn &SystemDeployment::fabric()
{
    return *m_fabric;
}

StandIn::BackendGroup &SystemDeployment::servers()
{
    return *m_servers;
}

Endpoint SystemDeployment::dataAddress(std::size_t index) const
{
    return loopbackEndpoint(dataPort + index);
}

Endpoint SystemDeployment::backAddress(std::size_t index) const
{
    return loopbackEndpoint(backPort + index);
}

Endpoint SystemDeployment::deskAddress() const
{
    return loopbackEndpoint(deskPort);
}

Endpoint SystemDeployment::tilesAddress() const
{
    return loopbackEndpoint(tilesPort);
}

std::string SystemDeployment::sendHttpRequest(std::size_t port, const std::string &request)
{
    const std::string headers = " HTTP/1.1\r\nHost: system-test\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
    std::optional<std::string> text;
    asio::co_spawn(m_context, rawExchange(loopbackEndpoint(port), request + headers),
        [&text](const std::exception_ptr &, std::string received) { text = std::move(received); });
    REQUIRE(runUntil([&text] { return text.has_value(); }));
    REQUIRE(text->substr(0, text->find('\r')).find(" 2") != std::string::npos);
    return *text;
}

Endpoint SystemDeployment::loopbackEndpoint(std::size_t port) const
{
    return Endpoint(m_address, static_cast<std::uint16_t>(port));
}

std::string SystemDeployment::configText(const std::set<std::string> &drained) const
{
    std::string text = policyText("desk", "look") + policyText("tiles", "tile") + serviceText("desk", deskAddress(), "flow")
        + serviceText("tiles", tilesAddress(), "request");
    for (const std::string &domain : domains) {
        text += "[[failure_domain]]\nname = \"" + domain + "\"\nregion = \"coast\"\n";
    }
    std::size_t number = 0;
    for (const std::string pool : { "desk", "tiles" }) {
        text += "[[pool]]\nname = \"" + pool + "\"\ndomains = [\"north\", \"middle\", \"south\"]\n";
        for (std::size_t server = 0; server < serversPerPool; ++server, ++number) {
            const std::string name = pool + "-" + std::to_string(server);
            text += "[[pool.server]]\nname = \"" + name + "\"\nfailure_domain = \"" + domains[server % domains.size()] + "\"\naddress = "
                + quoted(loopbackEndpoint(serverPort + number)) + "\nhealth = " + quoted(loopbackEndpoint(healthPort + number))
                + "\nweight = 100\nslots = 4\nconnections = 2000\nstate = \"" + (drained.count(name) > 0 ? "drain" : "active") + "\"\n";
        }
    }
    return text;
}

ConfigSet SystemDeployment::config(const std::set<std::string> &drained) const
{
    ConfigReader reader;
    reader.readText(configText(drained), "system-test");
    REQUIRE(reader.findings().empty());
    return reader.set();
}

Settings SystemDeployment::settings(std::size_t index) const
{
    const std::string &domain = domains[index % domains.size()];
    const std::string text = "deployment = \"system-test\"\n[instance]\nid = \"" + domain + "-" + std::to_string(index / domains.size())
        + "\"\nfailure_domain = \"" + domain + "\"\nnew_id = true\nrandom_seed = " + std::to_string(seed + index)
        + "\n[peer]\naddress = " + quoted(loopbackEndpoint(peerPort + index)) + "\nseeds = [" + quoted(loopbackEndpoint(peerPort)) + ", "
        + quoted(loopbackEndpoint(peerPort + 1)) + ", " + quoted(loopbackEndpoint(peerPort + 2)) + "]\n[data]\naddress = "
        + quoted(loopbackEndpoint(dataPort + index)) + "\nback_address = " + quoted(loopbackEndpoint(backPort + index))
        + "\nfabric_return_address = " + quoted(loopbackEndpoint(fabricPort)) + "\nmax_flows = 10000\n[platform]\naddress = "
        + quoted(loopbackEndpoint(platformPort)) + "\n[metrics]\naddress = " + quoted(loopbackEndpoint(metricsPort + index))
        + "\n[log]\nlevel = \"warning\"\nfile = \"" + m_logFile + "\"\n";
    auto parsed = Settings::parse(text, "system-test");
    if (!parsed) {
        FAIL(parsed.error().front().describe());
    }
    return *std::move(parsed);
}

std::size_t SystemDeployment::pollAll()
{
    m_context.restart();
    std::size_t count = m_context.poll();
    for (const auto &instance : m_instances) {
        count += instance ? instance->poll() : 0;
    }
    return count;
}

} // namespace Samphirepitch::Testing
