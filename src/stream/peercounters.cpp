#include "stream/peercounters.h"

namespace Samphirepitch
{

void PeerCounters::write(MetricWriter &writer) const
{
    writer.counter("samphirepitch_peer_news_sent_total", "Gossip messages sent to other instances.", {}, messagesSent);
    writer.counter("samphirepitch_peer_news_received_total", "Datagrams received at the peer address.", {}, messagesReceived);
    writer.counter("samphirepitch_peer_news_refused_total",
        "Gossip messages and state requests that were rejected, and states that could not be sent.", {}, messagesRefused);
    writer.counter("samphirepitch_peer_pulls_total", "States requested from other instances.", {}, pulls);
    writer.counter("samphirepitch_peer_failed_pulls_total", "State requests that failed.", {}, failedPulls);
}

} // namespace Samphirepitch
