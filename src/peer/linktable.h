#pragma once

#include "core/clock.h"
#include "peer/peerchannel.h"
#include "peer/peerlink.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Samphirepitch
{

/** The established links of an instance, at most one for each peer id. */
class LinkTable : public PeerChannel
{
public:
    /** Length of a send queue, in bytes, above which no parts are queued, so that there is room for heartbeats. */
    static constexpr std::size_t partQueueLimit = 1024 * 1024;
    static constexpr std::chrono::milliseconds unwantedTimeout { 5000 }; /**< time until a dialed link outside the link plan is closed */

    /** @param self id of this instance */
    explicit LinkTable(std::string self);

    /**
     * Adds a link, and closes an existing link to the same peer. If two instances dialed each other at the same time, both keep the
     * link that the instance with the lower id dialed.
     * @return false if an existing link is kept instead
     */
    bool add(const std::shared_ptr<PeerLink> &link);

    /**
     * Removes @p link.
     * @return false if another link has replaced it
     */
    bool remove(const PeerLink &link);

    /**
     * Closes each link that this instance dialed if its peer has not been wanted for unwantedTimeout.
     * @param wanted ids of the peers to keep links to
     * @param now current time
     */
    void closeUnwanted(const std::set<std::string> &wanted, TimePoint now);

    bool contains(const std::string &peer) const;

    /** Returns whether there is a link to a peer that listens on @p address. */
    bool containsAddress(Endpoint address) const;

    std::size_t size() const;
    std::vector<std::string> peers() const;

    bool send(const std::string &peer, const Message &message) override;

    /** Sends @p message to all linked peers. */
    void broadcast(const Message &message);

private:
    struct Entry {
        std::shared_ptr<PeerLink> link;
        TimePoint unwantedDeadline = TimePoint::max();
    };

    std::string m_self;
    std::map<std::string, Entry> m_links;
};

} // namespace Samphirepitch
