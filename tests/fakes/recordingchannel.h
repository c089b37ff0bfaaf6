#pragma once

#include "peer/peerchannel.h"

#include <set>
#include <string>
#include <utility>
#include <vector>

/** Records the messages that are sent; send() fails for the peers in @ref full, as with a full send buffer. */
class RecordingChannel : public Samphirepitch::PeerChannel
{
public:
    bool send(const std::string &peer, const Samphirepitch::Message &message) override
    {
        if (full.contains(peer)) {
            return false;
        }
        sent.emplace_back(peer, message);
        return true;
    }

    std::vector<std::pair<std::string, Samphirepitch::Message>> sent;
    std::set<std::string> full;
};
