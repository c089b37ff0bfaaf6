#pragma once

#include "core/clock.h"
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

/**
 * Simulates the read operations of the platform's metadata store: lists, watches, a history that can be dropped, and the return from an
 * older copy. Each response has the header Store-Era, which starts at 1.
 */
class StoreStandin : public HttpHandler
{
public:
    /**
     * Listens at a free port of 127.0.0.1; throws if that fails.
     * @param executor runs the store; has a single thread
     * @param clock gives the times that restore() refers to; must outlive the store
     */
    StoreStandin(asio::any_io_executor executor, const Clock &clock);

    Endpoint address() const;

    /** Returns the revision of the last change. */
    std::uint64_t revision() const;

    /**
     * Creates or replaces an object. Changes nothing if it exists with the same content.
     * @param kind collection of the object, such as "servers"
     * @param name name of the object in its collection
     * @param spec content
     * @return the revision of the store after that
     */
    std::uint64_t put(const std::string &kind, const std::string &name, nlohmann::json spec);

    /** Creates or replaces an object whose content is @p text in all responses, whether or not that is valid JSON. */
    void putText(const std::string &kind, const std::string &name, std::string text);

    /** Removes an object if it exists. */
    void remove(const std::string &kind, const std::string &name);

    /** Drops the history, so that watches from earlier revisions get the status 410. */
    void compact();

    /**
     * Returns to the objects, history and revision of @p age ago, and raises the era by one. Later changes get the revisions after that
     * one again. Watches from a revision above the present one get the status 410, also those that wait already.
     */
    void restore(std::chrono::milliseconds age);

    /** Starts or ends an outage, during which all requests get the status 503. */
    void setUnavailable(bool unavailable);

    asio::awaitable<std::optional<HttpResponse>> handle(HttpRequest request) override;

private:
    struct Change {
        TimePoint at;
        std::uint64_t revision = 0;
        std::string kind;
        bool deleted = false;
        nlohmann::json object;
    };

    struct Compaction {
        TimePoint at;
        std::uint64_t revision = 0; // the last one whose change was dropped
    };

    /** All that happened in one era and in the eras that it continues. */
    struct History {
        std::vector<Change> changes;
        std::vector<Compaction> compactions;
        TimePoint endedAt = TimePoint::max();
    };

    asio::awaitable<HttpResponse> respond(HttpRequest request);
    HttpResponse jsonResponse(const nlohmann::json &body) const;
    HttpResponse list(const std::string &kind) const;
    std::optional<HttpResponse> changes(const std::string &kind, std::uint64_t after, bool includeEmpty) const;
    void record(const std::string &kind, bool deleted, nlohmann::json object);
    void apply(const Change &change);

    asio::any_io_executor m_executor;
    const Clock &m_clock;
    std::unique_ptr<HttpServer> m_server;
    std::map<std::string, std::map<std::string, nlohmann::json>> m_objects;
    std::map<std::string, std::string> m_texts; // by the string that stands for the text in an object
    History m_history;
    std::vector<History> m_endedEras;
    std::uint64_t m_restoredRevision = 0; // the one that restore() returned to last
    bool m_unavailable = false;
};

} // namespace Samphirepitch::Soak
