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

/** The ready links of an instance by the id of the peer. */
class LinkTable : public PeerChannel
{
public:
    /** Parts are not queued above this, so that they leave room for heartbeats; in bytes. */
    static constexpr std::size_t partQueueLimit = 1024 * 1024;
    static constexpr std::chrono::milliseconds unwantedTimeout { 5000 }; /**< a dialed link outside the plan is closed after this */

    explicit LinkTable(std::string self);

    /**
     * Takes a new link. If two instances dialed each other, both keep the link that the smaller id dialed.
     * @return false if the existing link stays
     */
    bool add(const std::shared_ptr<PeerLink> &link);

    /** Removes @p link. @return false if it was replaced before */
    bool remove(const PeerLink &link);

    /** Closes dialed links that are not in @p wanted for unwantedTimeout. */
    void closeUnwanted(const std::set<std::string> &wanted, TimePoint now);

    bool contains(const std::string &peer) const;

    /** Returns whether the peer that listens at @p address is linked. */
    bool containsAddress(Endpoint address) const;

    std::size_t size() const;
    std::vector<std::string> peers() const;

    bool send(const std::string &peer, const Message &message) override;

    /** Sends to all linked peers. */
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
