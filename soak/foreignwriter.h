#pragma once

#include "core/clock.h"
#include "core/random.h"
#include "soak/storestandin.h"

#include <nlohmann/json.hpp>

#include <map>
#include <string>
#include <vector>

namespace Samphirepitch::Soak
{

/** Another writer, whose entries are sound and concern running servers, although it is none of them. */
class ForeignWriter
{
public:
    /**
     * @param store must outlive the writer
     * @param random stream of random numbers of its own, so that the rest of a seed's schedule stays the same
     */
    ForeignWriter(StoreStandin &store, SeededRandom random);

    /**
     * Leaves an entry at the address of a running server, or a copy of the server's entry, each for the same service or for another one
     * that no configuration names; or removes what it has left.
     * @param serverIds ids of running servers
     * @param specs what the servers wrote last, by id
     * @param now start time of new entries
     */
    void write(const std::vector<std::string> &serverIds, const std::map<std::string, nlohmann::json> &specs, WallTime now);

    /** Removes all its entries. */
    void removeAll();

private:
    StoreStandin &m_store;
    SeededRandom m_random;
    std::vector<std::string> m_names; // of its entries
    std::uint64_t m_lastNumber = 0xf0000;
};

} // namespace Samphirepitch::Soak
