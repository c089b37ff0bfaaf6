#include "stream/peerroster.h"

namespace Samphirepitch
{

PeerRoster::PeerRoster(const PeerDirectory &directory, TimePoint createdAt, bool hasSeeds)
    : m_directory(directory)
    , m_settledAt(createdAt + settleTime)
    , m_hasSeeds(hasSeeds)
{
}

const std::string &PeerRoster::selfId() const
{
    return m_directory.self().id;
}

std::vector<std::string> PeerRoster::recentIds(TimePoint now) const
{
    static_cast<void>(now); // PeerDirectory::expire() removes those that were not heard of for too long
    return m_directory.recentIds();
}

std::size_t PeerRoster::aliveCount(TimePoint now) const
{
    return m_directory.aliveCount(now);
}

bool PeerRoster::isSettled(TimePoint now) const
{
    const bool mayBeCutOff = m_hasSeeds && m_directory.recentIds().size() == 1;
    return now >= m_settledAt && !mayBeCutOff;
}

} // namespace Samphirepitch
