#pragma once

#include "core/random.h"
#include "soak/storestandin.h"

#include <string>
#include <vector>

namespace Samphirepitch::Soak
{

/** Another writer, which leaves entries that describe no server among those of the servers. */
class OddWriter
{
public:
    /**
     * @param store must outlive the writer
     * @param random stream of random numbers of its own, so that the rest of a seed's schedule stays the same
     */
    OddWriter(StoreStandin &store, SeededRandom random);

    /**
     * Replaces the entry of a running server, adds an entry, or removes the entries that were added.
     * @param serverIds ids of running servers
     * @return the id of the server whose entry was replaced, or an empty string
     */
    std::string write(const std::vector<std::string> &serverIds);

private:
    std::string oddContent();

    StoreStandin &m_store;
    SeededRandom m_random;
    std::vector<std::string> m_added; // names of entries
};

} // namespace Samphirepitch::Soak
