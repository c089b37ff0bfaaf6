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

/** The backend servers of one process, their health endpoints, and the admin path (as HttpHandler; docs/standins.md). */
class BackendGroup : public HttpHandler
{
public:
    /** A server and its health endpoint. */
    struct Member {
        BackendStandIn::Options options;
        Endpoint healthAddress; /**< port 0 takes a free port; an unset one means no health endpoint */
    };

    static constexpr std::size_t ledgerLimit = 200000; /**< requests; bounds the memory of long trials */

    /**
     * Reads "NAME=ip:port=ip:port,..." (datagram address and health address).
     * @param defaults all other options
     * @return the members, or Malformed
     */
    static Result<std::vector<Member>> parseMembers(std::string_view text, const BackendStandIn::Options &defaults);

    /**
     * Lists the servers of a pool, with their slots.
     * @param pool name of a pool; empty for all pools
     * @param defaults all other options
     * @return the members, or NotFound
     */
    static Result<std::vector<Member>> membersOf(const ConfigSet &set, std::string_view pool, const BackendStandIn::Options &defaults);

    /**
     * Starts all servers and health endpoints.
     * @param executor runs all operations; single-threaded; the group must outlive its last operation
     * @param clock must outlive the group
     * @return the group, or InputOutput
     */
    static Result<std::unique_ptr<BackendGroup>> start(
        const asio::any_io_executor &executor, const Clock &clock, const std::vector<Member> &members);

    asio::awaitable<std::optional<HttpResponse>> handle(HttpRequest request) override;

    BackendStandIn &server(std::size_t index);

    /** Returns the bound address of a server's health endpoint; unset if it has none. */
    Endpoint healthAddress(std::size_t index) const;

    std::size_t size() const;
    const RunLedger &ledger() const;

private:
    BackendGroup();

    Result<void> add(const asio::any_io_executor &executor, const Clock &clock, const Member &member);
    std::vector<BackendStandIn *> chosen(const HttpRequest &request);
    HttpResponse faults(const HttpRequest &request);
    HttpResponse counters(const HttpRequest &request);
    HttpResponse push(const HttpRequest &request);
    HttpResponse ledger(const HttpRequest &request);

    RunLedger m_ledger { ledgerLimit };
    ReceiveBatch m_batch;
    std::vector<std::unique_ptr<BackendStandIn>> m_servers;
    std::vector<std::unique_ptr<HttpServer>> m_health; /**< for each server; null if it has no health endpoint */
};

} // namespace Samphirepitch::StandIn
