#include "peer/linkmetrics.h"

#include "core/metricsource.h"
#include "peer/linkcounters.h"

namespace Samphirepitch
{

void writeLinkMetrics(const LinkCounters &counters, MetricWriter &writer)
{
    for (std::size_t index = 0; index < counters.sentBytes.size(); ++index) {
        const std::vector<MetricLabel> labels { { "type", messageTypeName(index) } };
        writer.counter("samphirepitch_peer_sent_bytes", "Bytes sent to peers, by message type", labels, counters.sentBytes[index]);
        writer.counter(
            "samphirepitch_peer_received_bytes", "Bytes received from peers, by message type", labels, counters.receivedBytes[index]);
        writer.counter("samphirepitch_peer_sent_messages", "Messages sent to peers, by message type", labels, counters.sentMessages[index]);
    }
    const auto closed = [&writer](std::string_view reason, std::uint64_t value) {
        writer.counter("samphirepitch_peer_links_closed_total", "Links closed or refused, by reason", { { "reason", reason } }, value);
    };
    closed("bad_input", counters.badInput);
    closed("wrong_peer", counters.wrongPeer);
    closed("slow_peer", counters.slowPeers);
    closed("timeout", counters.timeouts);
    closed("connection_limit", counters.refused);
}

} // namespace Samphirepitch
