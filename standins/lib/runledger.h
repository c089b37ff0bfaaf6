#pragma once

#include "core/endpoint.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>

namespace Samphirepitch::StandIn
{

/** Records which requests ran, on which backend servers and how often, so that tests can check that each ran at most once. */
class RunLedger
{
public:
    /** Identifies a request. The service is part of it, since a caller may use one id for several services. */
    struct Key {
        Endpoint service;
        Endpoint caller;
        std::uint32_t id = 0;

        friend bool operator==(const Key &, const Key &) = default;
    };

    /** @param limit maximum number of requests in the ledger; above it, the oldest are removed */
    explicit RunLedger(std::size_t limit);

    /**
     * Records a run of a request.
     * @param key identifies the request
     * @param method method of the request; kept from its first run
     * @param server name of the backend server
     * @return how often the request has run on this server, this run included
     */
    std::uint32_t record(const Key &key, const std::string &method, const std::string &server);

    /** Returns how often a request has run, summed over all backend servers; 0 if the ledger does not contain it. */
    std::uint32_t runs(const Key &key) const;

    /**
     * Returns a JSON object with totals and with entries, newest first.
     * @param repeatedOnly whether only requests that ran more than once are listed
     * @param maxEntries maximum number of entries
     */
    std::string toJson(bool repeatedOnly, std::size_t maxEntries) const;

    void clear();

private:
    struct Hash {
        std::size_t operator()(const Key &key) const;
    };
    struct Entry {
        std::string method;
        std::map<std::string, std::uint32_t> runsByServer;

        std::uint32_t runs() const;
    };

    std::size_t m_maxEntries;
    std::uint64_t m_runs = 0;
    std::uint64_t m_evicted = 0;
    std::unordered_map<Key, Entry, Hash> m_entries;
    std::deque<Key> m_insertionOrder;
};

} // namespace Samphirepitch::StandIn
