#include "control/jsonrenderer.h"

#include "control/statussummary.h"

#include <nlohmann/json.hpp>

namespace Samphirepitch
{

namespace
{

using Json = nlohmann::json;

Json jsonOf(const Finding &finding)
{
    return { { "severity", finding.severity == FindingSeverity::Error ? "error" : "warning" }, { "file", finding.file },
        { "line", finding.line }, { "object", finding.object }, { "field", finding.field }, { "value", finding.value },
        { "remedy", finding.remedy } };
}

Json jsonOf(const HeadRecord &record)
{
    return { { "generation", record.generation() }, { "change_id", record.changeId() }, { "author", record.author() },
        { "accepted_at", formatTime(record.acceptedAt()) } };
}

Json jsonOf(const Error &error)
{
    return { { "kind", errorKindName(error.kind()) }, { "subject", error.subject() }, { "detail", error.detail() } };
}

Json jsonOf(const InstanceReport &instance)
{
    Json json { { "id", instance.id }, { "failure_domain", instance.failureDomain }, { "state", instance.state },
        { "in_list", instance.listed }, { "generation", nullptr }, { "last_heard", nullptr } };
    if (instance.generation) {
        json["generation"] = *instance.generation;
    }
    if (instance.lastHeard) {
        json["last_heard"] = formatTime(*instance.lastHeard);
    }
    return json;
}

Json jsonOf(const Event &event)
{
    Json fields = Json::object();
    for (const EventField &field : event.fields) {
        fields[field.key] = field.value;
    }
    return { { "time", formatTime(WallTime(std::chrono::milliseconds(event.at.wallMs))) }, { "counter", event.at.counter },
        { "instance", event.instance }, { "sequence", event.sequence }, { "severity", severityName(event.severity) },
        { "event", event.name }, { "fields", fields } };
}

Json jsonOf(const DomainStatus &domain)
{
    return { { "failure_domain", domain.failureDomain }, { "writer", domain.writer },
        { "written_at", formatTime(WallTime(std::chrono::milliseconds(domain.writtenAtMs))) }, { "highest_held", domain.highestHeld },
        { "lowest_in_force", domain.lowestInForce }, { "reported", domain.reported }, { "expected", domain.expected } };
}

template<typename Item>
Json arrayOf(const std::vector<Item> &items)
{
    Json json = Json::array();
    for (const Item &item : items) {
        json.push_back(jsonOf(item));
    }
    return json;
}

Json jsonOf(const StatusSummary &summary)
{
    Json json = Json::object();
    json["generation"] = summary.generation();
    json["in_force_everywhere"] = summary.inForceEverywhere();
    json["instances"] = arrayOf(summary.instances());
    json["missing"] = arrayOf(summary.laggingInstances());
    json["failure_domains"] = arrayOf(summary.domains());
    json["lagging_failure_domains"] = summary.laggingDomains();
    json["unreadable"] = arrayOf(summary.unreadable());
    return json;
}

void write(std::ostream &stream, const Json &json)
{
    stream << json.dump(2, ' ', false, Json::error_handler_t::replace) << '\n';
}

} // namespace

JsonRenderer::JsonRenderer(std::ostream &out)
    : m_out(out)
{
}

void JsonRenderer::findings(const std::vector<Finding> &findings)
{
    Json json = Json::object();
    json["valid"] = !hasErrors(findings);
    json["findings"] = arrayOf(findings);
    write(m_out, json);
}

void JsonRenderer::diff(const ConfigDiff &diff)
{
    m_out << diff.toJson() << '\n';
}

void JsonRenderer::outcome(const ApplyOutcome &outcome, const StatusSummary *waited)
{
    Json json = Json::object();
    json["outcome"] = applyStatusName(outcome.status);
    json["change_id"] = outcome.changeId;
    json["findings"] = arrayOf(outcome.findings);
    if (outcome.status == ApplyStatus::Accepted || outcome.status == ApplyStatus::Unchanged) {
        json["generation"] = outcome.generation;
    }
    if (outcome.winner) {
        json["winner"] = jsonOf(*outcome.winner);
    }
    if (outcome.error) {
        json["error"] = jsonOf(*outcome.error);
    }
    if (waited != nullptr) {
        json["status"] = jsonOf(*waited);
    }
    write(m_out, json);
}

void JsonRenderer::records(const std::vector<HeadRecord> &records)
{
    write(m_out, arrayOf(records));
}

void JsonRenderer::status(const std::optional<HeadRecord> &head, const StatusSummary &summary, WallTime now)
{
    Json json = jsonOf(summary);
    json["time"] = formatTime(now);
    json["head"] = head ? jsonOf(*head) : Json();
    write(m_out, json);
}

void JsonRenderer::events(const std::vector<Event> &events, const std::vector<Error> &unreachable)
{
    Json json = Json::object();
    json["events"] = arrayOf(events);
    json["unreachable"] = arrayOf(unreachable);
    write(m_out, json);
}

void JsonRenderer::instanceDrain(const std::string &id, bool accepted)
{
    Json json = Json::object();
    json["instance"] = id;
    json["accepted"] = accepted;
    write(m_out, json);
}

void JsonRenderer::error(const Error &error)
{
    Json json = Json::object();
    json["error"] = jsonOf(error);
    write(m_out, json);
}

} // namespace Samphirepitch
