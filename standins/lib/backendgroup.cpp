#include "lib/backendgroup.h"

#include "model/configset.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace Samphirepitch::StandIn
{

namespace
{

using Json = nlohmann::json;

constexpr std::uint64_t defaultLedgerEntries = 1000; // ledger entries in a response without the query parameter "limit"

HttpResponse jsonResponse(const Json &value)
{
    return HttpResponse::of(200, "application/json", value.dump());
}

Json toJson(const BackendStandIn &server)
{
    const BackendStandIn::Counters &counters = server.counters();
    return Json { { "requests", counters.requests }, { "answered", counters.answered }, { "shed", counters.shed },
        { "expired", counters.expired }, { "cancelled", counters.cancelled }, { "notifications", counters.notifications },
        { "opaque", counters.opaque }, { "malformed", counters.malformed }, { "flows", server.flowCount() } };
}

Result<BackendGroup::Member> parseMember(std::string_view entry, const BackendStandIn::Options &defaults)
{
    const std::size_t first = entry.find('=');
    const std::size_t second = first == std::string_view::npos ? first : entry.find('=', first + 1);
    if (first == 0 || second == std::string_view::npos) {
        return failure(ErrorKind::Malformed, std::string(entry), "expected a backend server as NAME=ip:port=ip:port");
    }
    const auto address = Endpoint::parse(entry.substr(first + 1, second - first - 1));
    const auto health = Endpoint::parse(entry.substr(second + 1));
    if (!address || !health) {
        return tl::unexpected(address ? health.error() : address.error());
    }
    BackendGroup::Member member { defaults, *health };
    member.options.name = entry.substr(0, first);
    member.options.address = *address;
    return member;
}

} // namespace

Result<std::vector<BackendGroup::Member>> BackendGroup::parseMembers(std::string_view text, const BackendStandIn::Options &defaults)
{
    std::vector<Member> members;
    while (!text.empty()) {
        const std::string_view entry = text.substr(0, text.find(','));
        text.remove_prefix(entry.size() < text.size() ? entry.size() + 1 : entry.size());
        if (entry.empty()) {
            continue;
        }
        auto member = parseMember(entry, defaults);
        if (!member) {
            return tl::unexpected(member.error());
        }
        members.push_back(std::move(*member));
    }
    return members;
}

Result<std::vector<BackendGroup::Member>> BackendGroup::membersFromConfig(
    const ConfigSet &set, std::string_view pool, const BackendStandIn::Options &defaults)
{
    if (!pool.empty() && set.pool(pool) == nullptr) {
        return failure(ErrorKind::NotFound, std::string(pool), "the configuration has no such pool");
    }
    std::vector<Member> members;
    for (const BackendPool &candidate : set.pools()) {
        if (!pool.empty() && candidate.name() != pool) {
            continue;
        }
        for (const BackendServer &server : candidate.servers()) {
            Member member { defaults, server.health() };
            member.options.name = server.name();
            member.options.address = server.address();
            member.options.slots = server.slots();
            members.push_back(std::move(member));
        }
    }
    return members;
}

Result<std::unique_ptr<BackendGroup>> BackendGroup::start(
    const asio::any_io_executor &executor, const Clock &clock, const std::vector<Member> &members)
{
    std::unique_ptr<BackendGroup> group(new BackendGroup());
    for (const Member &member : members) {
        if (const auto added = group->add(executor, clock, member); !added) {
            return tl::unexpected(added.error());
        }
    }
    return group;
}

BackendGroup::BackendGroup() = default;

Result<void> BackendGroup::add(const asio::any_io_executor &executor, const Clock &clock, const Member &member)
{
    auto server = BackendStandIn::start(executor, clock, member.options, m_ledger, m_batch);
    if (!server) {
        return tl::unexpected(server.error());
    }
    std::unique_ptr<HttpServer> health;
    if (!member.healthAddress.isUnset()) {
        auto listening = HttpServer::listen(executor, member.healthAddress, **server);
        if (!listening) {
            return tl::unexpected(listening.error());
        }
        health = std::move(*listening);
    }
    m_servers.push_back(std::move(*server));
    m_healthServers.push_back(std::move(health));
    return {};
}

asio::awaitable<std::optional<HttpResponse>> BackendGroup::handle(HttpRequest request)
{
    const std::string_view path = request.path();
    if (path == "/standin/ledger") {
        co_return handleLedger(request);
    }
    if (path == "/standin/counters") {
        co_return handleCounters(request);
    }
    if (path == "/standin/faults") {
        co_return handleFaults(request);
    }
    if (path == "/standin/push" && request.method == "POST") {
        co_return handlePush(request);
    }
    co_return HttpResponse::empty(404);
}

std::vector<BackendStandIn *> BackendGroup::selectServers(const HttpRequest &request)
{
    const auto name = request.query("server");
    std::vector<BackendStandIn *> servers;
    for (const auto &server : m_servers) {
        if (!name || server->name() == *name) {
            servers.push_back(server.get());
        }
    }
    return servers;
}

HttpResponse BackendGroup::handleFaults(const HttpRequest &request)
{
    const auto servers = selectServers(request);
    if (request.method == "PUT") {
        for (BackendStandIn *server : servers) {
            const auto changed = server->faults().withChanges(request.body);
            if (!changed) {
                return HttpResponse::of(400, "text/plain", changed.error().describe());
            }
            server->setFaults(*changed);
        }
    }
    Json report = Json::object();
    for (BackendStandIn *server : servers) {
        report[server->name()] = Json::parse(server->faults().toJson());
    }
    return servers.empty() ? HttpResponse::empty(404) : jsonResponse(report);
}

HttpResponse BackendGroup::handleCounters(const HttpRequest &request)
{
    Json report = Json::object();
    for (BackendStandIn *server : selectServers(request)) {
        report[server->name()] = toJson(*server);
    }
    return jsonResponse(report);
}

HttpResponse BackendGroup::handlePush(const HttpRequest &request)
{
    std::size_t flows = 0;
    for (BackendStandIn *server : selectServers(request)) {
        flows += server->pushToFlows();
    }
    return jsonResponse(Json { { "flows", flows } });
}

HttpResponse BackendGroup::handleLedger(const HttpRequest &request)
{
    if (request.method == "DELETE") {
        m_ledger.clear();
        return HttpResponse::empty(204);
    }
    const bool repeatedOnly = request.queryNumber("repeated").value_or(0) != 0;
    return HttpResponse::of(
        200, "application/json", m_ledger.toJson(repeatedOnly, request.queryNumber("limit").value_or(defaultLedgerEntries)));
}

BackendStandIn &BackendGroup::server(std::size_t index)
{
    return *m_servers[index];
}

Endpoint BackendGroup::healthAddress(std::size_t index) const
{
    return m_healthServers[index] ? m_healthServers[index]->address() : Endpoint();
}

std::size_t BackendGroup::size() const
{
    return m_servers.size();
}

const RunLedger &BackendGroup::ledger() const
{
    return m_ledger;
}

} // namespace Samphirepitch::StandIn
