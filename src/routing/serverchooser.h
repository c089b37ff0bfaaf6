#pragma once

#include "routing/serverregistry.h"

#include <memory>
#include <span>
#include <string_view>

namespace Samphirepitch
{

class RandomSource;

/** A backend server that can take a request now. */
struct ServerCandidate {
    ServerIndex server = noServer;
    std::uint64_t nameHash = 0; /**< the same on every instance */
    std::uint32_t slots = 1; /**< requests that the server runs at the same time */
    std::uint32_t inFlight = 0; /**< requests that this instance has outstanding there */
    std::uint32_t reportedLoad = 0; /**< running and queued requests that the server reported; 0 if the report is too old */
    bool isLocal = false; /**< in the failure domain of this instance */
};

/** The ways to choose a server for a request. */
enum class ChooserKind {
    Random,
    RoundRobin,
    LeastInFlight,
    TwoChoices, /**< the less loaded of two random servers */
    ConsistentHash, /**< by rendezvous rank for the key */
    LocalFirst, /**< the product's own: LocalFirstChooser */
};

/** Chooses the backend server for a request of a service with affinity "request". */
class ServerChooser
{
public:
    virtual ~ServerChooser() = default;

    /**
     * @param candidates servers that can take the request; may be empty
     * @param key of the request's flow
     * @return the chosen server, or noServer without candidates
     */
    virtual ServerIndex choose(std::span<const ServerCandidate> candidates, std::uint64_t key, RandomSource &random) = 0;

    /** Returns a new chooser of the given kind. */
    static std::unique_ptr<ServerChooser> create(ChooserKind kind);
};

} // namespace Samphirepitch
