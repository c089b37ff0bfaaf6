#pragma once

#include "core/endpoint.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>

namespace Samphirepitch::StandIn
{

/** Which requests ran, where and how often, so that a test can prove that each ran at most once. */
class RunLedger
{
public:
    /** Identifies a request: a caller may use the same id for different services. */
    struct Key {
        Endpoint service;
        Endpoint caller;
        std::uint32_t id = 0;

        friend bool operator==(const Key &, const Key &) = default;
    };

    /** @param limit requests that are kept; the oldest are forgotten above it */
    explicit RunLedger(std::size_t limit);

    /** Counts a run on @p server. @return how often the request has run on this server */
    std::uint32_t record(const Key &key, const std::string &method, const std::string &server);

    /** Returns how often a request has run on all servers. */
    std::uint32_t runs(const Key &key) const;

    /**
     * Returns a JSON object with totals and entries, the newest first.
     * @param repeatedOnly lists only requests that ran more than once
     * @param count entries that are listed at most
     */
    std::string toJson(bool repeatedOnly, std::size_t count) const;

    void clear();

private:
    struct Hash {
        std::size_t operator()(const Key &key) const;
    };
    struct Entry {
        std::string method;
        std::map<std::string, std::uint32_t> runsOfServer;

        std::uint32_t runs() const;
    };

    std::size_t m_limit;
    std::uint64_t m_runs = 0;
    std::uint64_t m_forgotten = 0;
    std::unordered_map<Key, Entry, Hash> m_entries;
    std::deque<Key> m_order;
};

} // namespace Samphirepitch::StandIn
