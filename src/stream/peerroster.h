#pragma once

#include "stream/instanceroster.h"
#include "stream/peerdirectory.h"

#include <chrono>

namespace Samphirepitch
{

/** The roster of the instances in a PeerDirectory. */
class PeerRoster : public InstanceRoster
{
public:
    /** After this time, six rounds of gossip, a running instance knows nearly all others. */
    static constexpr std::chrono::milliseconds settleTime { 3000 };

    /**
     * @param directory must outlive the roster
     * @param createdAt when this instance started
     * @param hasSeeds whether the settings name other instances, so that one that has heard of nobody may be cut off from all of them
     */
    PeerRoster(const PeerDirectory &directory, TimePoint createdAt, bool hasSeeds);

    const std::string &selfId() const override;
    std::vector<std::string> recentIds(TimePoint now) const override;
    std::size_t aliveCount(TimePoint now) const override;
    bool isSettled(TimePoint now) const override;

private:
    const PeerDirectory &m_directory;
    TimePoint m_settledAt;
    bool m_hasSeeds;
};

} // namespace Samphirepitch
