#pragma once

#include "objectstore/httphandler.h"
#include "objectstore/httpserver.h"

#include <asio/any_io_executor.hpp>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Samphirepitch::Soak
{

/** Simulates the read operations of the platform's metadata store: lists, watches, and a history that can be dropped. */
class StoreStandin : public HttpHandler
{
public:
    /** Listens at a free port of 127.0.0.1; throws if that fails. */
    explicit StoreStandin(asio::any_io_executor executor);

    Endpoint address() const;

    /**
     * Creates or replaces an object.
     * @param kind collection of the object, such as "servers"
     * @param name name of the object in its collection
     * @param spec content
     * @return the new revision of the store
     */
    std::uint64_t put(const std::string &kind, const std::string &name, nlohmann::json spec);

    /** Removes an object if it exists. */
    void remove(const std::string &kind, const std::string &name);

    /** Drops the history, so that watches from earlier revisions get the status 410. */
    void compact();

    /** Starts or ends an outage, during which all requests get the status 503. */
    void setUnavailable(bool unavailable);

    asio::awaitable<std::optional<HttpResponse>> handle(HttpRequest request) override;

private:
    struct Change {
        std::uint64_t revision = 0;
        std::string kind;
        bool deleted = false;
        nlohmann::json object;
    };

    HttpResponse list(const std::string &kind) const;
    std::optional<HttpResponse> changes(const std::string &kind, std::uint64_t after, bool includeEmpty) const;
    void record(const std::string &kind, bool deleted, nlohmann::json object);

    asio::any_io_executor m_executor;
    std::unique_ptr<HttpServer> m_server;
    std::map<std::string, std::map<std::string, nlohmann::json>> m_objects;
    std::vector<Change> m_history;
    std::uint64_t m_revision = 1;
    std::uint64_t m_historyStart = 0;
    bool m_unavailable = false;
};

} // namespace Samphirepitch::Soak
