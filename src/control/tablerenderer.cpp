#include "control/tablerenderer.h"

#include "control/statussummary.h"
#include "control/texttable.h"

#include <algorithm>

namespace Samphirepitch
{

namespace
{

std::string formatGeneration(const InstanceReport &instance)
{
    return instance.generation ? std::to_string(*instance.generation) : "-";
}

std::string formatLastHeard(const InstanceReport &instance)
{
    return instance.lastHeard ? formatTime(*instance.lastHeard) : "never";
}

std::string formatRecord(const HeadRecord &record)
{
    return "generation " + std::to_string(record.generation()) + ", change " + record.changeId() + " by "
        + (record.author().empty() ? "(unnamed)" : record.author()) + " at " + formatTime(record.acceptedAt());
}

std::string describeUnreadHead(const StatusSummary &summary)
{
    return summary.generation() == 0
        ? "no configuration was accepted yet"
        : "not read from the platform; the instance knows of generation " + std::to_string(summary.generation());
}

} // namespace

TableRenderer::TableRenderer(std::ostream &out, std::ostream &errors)
    : m_out(out)
    , m_errors(errors)
{
}

void TableRenderer::findings(const std::vector<Finding> &findings)
{
    for (const Finding &finding : findings) {
        m_errors << finding.describe() << '\n';
    }
    if (!hasErrors(findings)) {
        m_out << "valid\n";
    }
}

void TableRenderer::diff(const ConfigDiff &diff)
{
    m_out << (diff.changes().empty() ? "no differences\n" : diff.toText());
}

void TableRenderer::outcome(const ApplyOutcome &outcome, const StatusSummary *waited)
{
    for (const Finding &finding : outcome.findings) {
        m_errors << finding.describe() << '\n';
    }
    const std::string change = "change " + outcome.changeId;
    switch (outcome.status) {
    case ApplyStatus::Accepted:
        m_out << "accepted: generation " << outcome.generation << ", " << change << '\n';
        break;
    case ApplyStatus::Unchanged:
        m_out << "unchanged: generation " << outcome.generation << " already has this content\n";
        break;
    case ApplyStatus::Conflict:
        m_errors << "conflict: another change was accepted first: " << formatRecord(*outcome.winner) << "; nothing of " << change
                 << " is in force\n";
        break;
    case ApplyStatus::NotAccepted:
        m_errors << "not accepted: " << change << ": " << outcome.error->describe() << '\n';
        break;
    case ApplyStatus::Unknown:
        m_errors << "unknown: " << change << " may have been accepted (" << outcome.error->describe()
                 << "); ask later with: history --change " << outcome.changeId << '\n';
        break;
    }
    if (waited != nullptr) {
        writeLagging(*waited);
    }
}

void TableRenderer::records(const std::vector<HeadRecord> &records)
{
    TextTable table({ "GENERATION", "ACCEPTED", "AUTHOR", "CHANGE" });
    for (const HeadRecord &record : records) {
        table.add({ std::to_string(record.generation()), formatTime(record.acceptedAt()), record.author(), record.changeId() });
    }
    table.write(m_out);
}

void TableRenderer::writeLagging(const StatusSummary &summary)
{
    const std::string generation = "generation " + std::to_string(summary.generation());
    if (summary.inForceEverywhere()) {
        m_out << generation << " is in force everywhere (" << summary.instances().size() << " instances)\n";
        return;
    }
    if (summary.instances().empty()) {
        m_out << generation << " is not known to be in force: no instance is known\n";
    }
    const auto laggingInstances = summary.laggingInstances();
    if (!summary.instances().empty()) {
        m_out << generation << " is not known to be in force everywhere: " << laggingInstances.size() << " of "
              << summary.instances().size() << " instances have not reported it\n";
    }
    for (const InstanceReport &instance : laggingInstances) {
        m_out << "  " << instance.id << " in " << instance.failureDomain << ": generation " << formatGeneration(instance) << ", last heard "
              << formatLastHeard(instance) << '\n';
    }
    const auto lagging = summary.laggingDomains();
    for (const DomainStatus &domain : summary.domains()) {
        if (std::find(lagging.begin(), lagging.end(), domain.failureDomain) != lagging.end()) {
            m_out << "  failure domain " << domain.failureDomain << ": " << domain.reported << " of " << domain.expected
                  << " instances have reported, the lowest generation " << domain.lowestInForce << ", written by " << domain.writer
                  << " at " << formatTime(WallTime(std::chrono::milliseconds(domain.writtenAtMs))) << '\n';
        }
    }
    for (const Error &error : summary.unreadable()) {
        m_out << "  " << error.describe() << '\n';
    }
}

void TableRenderer::status(const std::optional<HeadRecord> &head, const StatusSummary &summary, WallTime now)
{
    m_out << "time: " << formatTime(now) << '\n';
    m_out << "head: " << (head ? formatRecord(*head) : describeUnreadHead(summary)) << '\n';
    TextTable table({ "INSTANCE", "FAILURE DOMAIN", "STATE", "IN LIST", "GENERATION", "LAST HEARD" });
    for (const InstanceReport &instance : summary.instances()) {
        table.add({ instance.id, instance.failureDomain, instance.state.empty() ? "-" : instance.state, instance.listed ? "yes" : "no",
            formatGeneration(instance), formatLastHeard(instance) });
    }
    table.write(m_out);
    writeLagging(summary);
}

void TableRenderer::events(const std::vector<Event> &events, const std::vector<Error> &unreachable)
{
    TextTable table({ "TIME", "INSTANCE", "SEQUENCE", "SEVERITY", "EVENT", "FIELDS" });
    for (const Event &event : events) {
        std::string fields;
        for (const EventField &field : event.fields) {
            fields += (fields.empty() ? "" : " ") + field.key + "=" + field.value;
        }
        const std::string time = formatTime(WallTime(std::chrono::milliseconds(event.at.wallMs))) + "+" + std::to_string(event.at.counter);
        table.add({ time, event.instance, std::to_string(event.sequence), severityName(event.severity), event.name, fields });
    }
    table.write(m_out);
    for (const Error &error : unreachable) {
        this->error(error);
    }
}

void TableRenderer::instanceDrain(const std::string &id, bool accepted)
{
    m_out << "instance " << id << (accepted ? " stops gracefully\n" : " was leaving already\n");
}

void TableRenderer::error(const Error &error)
{
    m_errors << "error: " << error.describe() << '\n';
}

} // namespace Samphirepitch
