#pragma once

#include "lib/backendstandin.h"
#include "lib/receivebatch.h"
#include "lib/runledger.h"
#include "objectstore/httpserver.h"

#include <memory>
#include <string>
#include <vector>

namespace Samphirepitch
{
class ConfigSet;
}

namespace Samphirepitch::StandIn
{

/**
 * All backend servers of one process, with their health endpoints. As an HttpHandler, it serves the admin path, on which faults,
 * counters and the run ledger are read and changed (docs/standins.md).
 */
class BackendGroup : public HttpHandler
{
public:
    /** Configuration of a backend server and its health endpoint. */
    struct Member {
        BackendStandIn::Options options;
        Endpoint healthAddress; /**< port 0 takes a free port; unset: no health endpoint */
    };

    static constexpr std::size_t maxLedgerEntries = 200000; /**< requests; bounds the memory of long test runs */

    /**
     * Parses a comma-separated list of backend servers.
     * @param text "NAME=ip:port=ip:port,...", with datagram address and health address; empty entries are skipped
     * @param defaults options that the list does not contain
     * @return the members; Malformed if an entry is invalid
     */
    static Result<std::vector<Member>> parseMembers(std::string_view text, const BackendStandIn::Options &defaults);

    /**
     * Returns the backend servers of a configuration, with their names, addresses and slots.
     * @param set configuration
     * @param pool name of a pool; empty for all pools
     * @param defaults options that the configuration does not contain
     * @return the members; NotFound if there is no such pool
     */
    static Result<std::vector<Member>> membersFromConfig(
        const ConfigSet &set, std::string_view pool, const BackendStandIn::Options &defaults);

    /**
     * Starts all backend servers and health endpoints.
     * @param executor runs all operations; single-threaded; the group must outlive its last operation
     * @param clock source of time; must outlive the group
     * @param members backend servers to start
     * @return the group; InputOutput if an address cannot be bound
     */
    static Result<std::unique_ptr<BackendGroup>> start(
        const asio::any_io_executor &executor, const Clock &clock, const std::vector<Member> &members);

    asio::awaitable<std::optional<HttpResponse>> handle(HttpRequest request) override;

    /** Returns a backend server by its position in the list of members. */
    BackendStandIn &server(std::size_t index);

    /** Returns the bound address of the health endpoint of a backend server; unset if it has none. */
    Endpoint healthAddress(std::size_t index) const;

    std::size_t size() const;
    const RunLedger &ledger() const;

private:
    BackendGroup();

    Result<void> add(const asio::any_io_executor &executor, const Clock &clock, const Member &member);

    /** Returns the servers that the query parameter "server" selects; all without that parameter. */
    std::vector<BackendStandIn *> selectServers(const HttpRequest &request);
    HttpResponse handleFaults(const HttpRequest &request);
    HttpResponse handleCounters(const HttpRequest &request);
    HttpResponse handlePush(const HttpRequest &request);
    HttpResponse handleLedger(const HttpRequest &request);

    RunLedger m_ledger { maxLedgerEntries };
    ReceiveBatch m_batch;
    std::vector<std::unique_ptr<BackendStandIn>> m_servers;
    std::vector<std::unique_ptr<HttpServer>> m_healthServers; /**< parallel to m_servers; null if a server has no health endpoint */
};

} // namespace Samphirepitch::StandIn
