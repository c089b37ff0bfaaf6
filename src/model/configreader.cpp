#include "model/configreader.h"

#include "model/internal/tablereader.h"
#include "model/limits.h"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <utility>

namespace Samphirepitch
{

namespace
{

BackendServer readServer(TableReader &reader, BackendServer::Fields fields)
{
    reader.text("failure_domain", fields.failureDomain, true);
    reader.endpoint("address", fields.address, true);
    reader.endpoint("health", fields.health);
    reader.number("weight", fields.weight, 0, Limits::weight);
    reader.number("slots", fields.slots, 1, Limits::slots);
    reader.number("connections", fields.connections, 1, Limits::connections);
    reader.enumValue<ServerState>("state", fields.state, { { "active", ServerState::Active }, { "drain", ServerState::Drain } });
    reader.reportUnknownKeys();
    return BackendServer(std::move(fields));
}

FailureDomain readDomain(TableReader &reader, FailureDomain::Fields fields)
{
    reader.text("region", fields.region, true);
    reader.reportUnknownKeys();
    return FailureDomain(std::move(fields));
}

Policy readPolicy(TableReader &reader, Policy::Fields fields)
{
    reader.text("fallback", fields.fallback);
    reader.milliseconds("request_timeout_ms", fields.requestTimeout, 1, Limits::requestTimeout);
    reader.milliseconds("repeat_window_ms", fields.repeatWindow, 1, Limits::repeatWindow);
    reader.number("queue_limit", fields.queueLimit, 0, Limits::queueLimit);
    reader.number("retry_budget_percent", fields.retryBudgetPercent, 0, Limits::retryBudgetPercent);
    reader.texts("idempotent_methods", fields.idempotentMethods);
    reader.milliseconds("drain_timeout_ms", fields.drainTimeout, 1, Limits::drainTimeout);
    reader.milliseconds("flow_idle_timeout_ms", fields.flowIdleTimeout, 1, Limits::flowIdleTimeout);
    reader.reportUnknownKeys();
    return Policy(std::move(fields));
}

Service readService(TableReader &reader, Service::Fields fields)
{
    reader.endpoint("address", fields.address, true);
    reader.enumValue<Protocol>("protocol", fields.protocol, { { "rpc", Protocol::Rpc }, { "opaque", Protocol::Opaque } });
    reader.enumValue<Affinity>("affinity", fields.affinity, { { "flow", Affinity::Flow }, { "request", Affinity::Request } });
    reader.text("pool", fields.pool, true);
    reader.text("policy", fields.policy, true);
    reader.reportUnknownKeys();
    return Service(std::move(fields));
}

bool byName(const BackendServer &left, const BackendServer &right)
{
    return left.name() < right.name();
}

} // namespace

void ConfigReader::readName(TableReader &reader, std::string_view kind, std::string &name, std::string_view owner)
{
    reader.text("name", name, true);
    reader.setObject(std::string(kind) + " " + (owner.empty() ? "" : std::string(owner) + "/") + name);
    m_locations.try_emplace(reader.object(), SourceLocation { m_file, reader.line() });
}

void ConfigReader::readText(std::string_view text, const std::string &file)
{
    m_file = file;
    toml::table root;
    try {
        root = toml::parse(text, file);
    } catch (const toml::parse_error &error) {
        m_findings.push_back({ .file = file,
            .line = error.source().begin.line,
            .object = "file",
            .remedy = "not valid TOML: " + std::string(error.description()) });
        return;
    }
    TableReader top(root, file, "file", m_findings);
    top.forEachTable("failure_domain", [&](const toml::table &table) {
        TableReader reader(table, file, "failure_domain", m_findings);
        FailureDomain::Fields fields;
        readName(reader, "failure_domain", fields.name);
        m_fields.failureDomains.push_back(readDomain(reader, std::move(fields)));
    });
    top.forEachTable("pool", [&](const toml::table &table) {
        TableReader reader(table, file, "pool", m_findings);
        BackendPool::Fields fields;
        readName(reader, "pool", fields.name);
        reader.texts("domains", fields.domains);
        reader.forEachTable("server", [&](const toml::table &serverTable) {
            TableReader serverReader(serverTable, file, "server of " + reader.object(), m_findings);
            BackendServer::Fields serverFields;
            readName(serverReader, "server", serverFields.name, fields.name);
            fields.servers.push_back(readServer(serverReader, std::move(serverFields)));
        });
        reader.reportUnknownKeys();
        std::stable_sort(fields.servers.begin(), fields.servers.end(), byName);
        m_fields.pools.push_back(BackendPool(std::move(fields)));
    });
    top.forEachTable("policy", [&](const toml::table &table) {
        TableReader reader(table, file, "policy", m_findings);
        Policy::Fields fields;
        readName(reader, "policy", fields.name);
        m_fields.policies.push_back(readPolicy(reader, std::move(fields)));
    });
    top.forEachTable("service", [&](const toml::table &table) {
        TableReader reader(table, file, "service", m_findings);
        Service::Fields fields;
        readName(reader, "service", fields.name);
        m_fields.services.push_back(readService(reader, std::move(fields)));
    });
    top.reportUnknownKeys();
}

void ConfigReader::readFile(const std::string &path)
{
    std::ifstream stream(path, std::ios::binary | std::ios::ate);
    const auto size = stream ? static_cast<std::streamoff>(stream.tellg()) : std::streamoff(-1);
    if (size < 0 || size > static_cast<std::streamoff>(maxFileSize)) {
        const std::string remedy
            = size < 0 ? "the file cannot be read" : "the file is larger than " + std::to_string(maxFileSize) + " bytes";
        m_findings.push_back({ .file = path, .object = "file", .remedy = remedy });
        return;
    }
    std::string text(static_cast<std::size_t>(size), '\0');
    stream.seekg(0);
    if (!stream.read(text.data(), size)) {
        m_findings.push_back({ .file = path, .object = "file", .remedy = "the file cannot be read" });
        return;
    }
    readText(text, path);
}

ConfigSet ConfigReader::set() const
{
    return ConfigSet(m_fields);
}

const std::vector<Finding> &ConfigReader::findings() const
{
    return m_findings;
}

std::vector<Finding> ConfigReader::addLocations(std::vector<Finding> findings) const
{
    for (Finding &finding : findings) {
        const auto location = m_locations.find(finding.object);
        if (finding.file.empty() && location != m_locations.end()) {
            finding.file = location->second.file;
            finding.line = location->second.line;
        }
    }
    return findings;
}

} // namespace Samphirepitch
