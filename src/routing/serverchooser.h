#pragma once

#include "routing/serverregistry.h"

#include <memory>
#include <span>
#include <string_view>

namespace Samphirepitch
{

class RandomSource;

/** A backend server that can accept a request now. */
struct ServerCandidate {
    ServerIndex server = noServer;
    std::uint64_t nameHash = 0; /**< hash of the server name, the same on every instance */
    std::uint32_t slots = 1; /**< requests that the server can run at the same time */
    std::uint32_t inFlight = 0; /**< requests that this instance has outstanding there */
    std::uint32_t reportedLoad = 0; /**< running and queued requests in the load report of the server; 0 if the report is too old */
    bool isLocal = false; /**< whether the server is in the failure domain of this instance */
};

/** The algorithms that choose a backend server for a request. */
enum class ChooserKind {
    Random, /**< a random server */
    RoundRobin, /**< each server in turn */
    LeastInFlight, /**< the server with the fewest outstanding requests of this instance */
    TwoChoices, /**< of two random servers, the one with fewer outstanding requests of this instance */
    ConsistentHash, /**< the server with the highest rendezvous rank for the key */
    LocalFirst, /**< servers in the failure domain of this instance first; see LocalFirstChooser */
};

/** Chooses the backend server for each request of a service with the affinity "request". */
class ServerChooser
{
public:
    virtual ~ServerChooser() = default;

    /**
     * Chooses one of the candidates.
     * @param candidates servers that can accept the request; may be empty
     * @param key flow key of the request
     * @param random source of random numbers
     * @return the chosen server; noServer if there are no candidates
     */
    virtual ServerIndex choose(std::span<const ServerCandidate> candidates, std::uint64_t key, RandomSource &random) = 0;

    /** Creates a chooser of the given kind. */
    static std::unique_ptr<ServerChooser> create(ChooserKind kind);
};

} // namespace Samphirepitch
