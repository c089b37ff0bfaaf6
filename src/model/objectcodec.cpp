#include "model/objectcodec.h"

#include "model/internal/partreader.h"
#include "model/internal/partwriter.h"
#include "model/limits.h"

#include <limits>
#include <utility>

namespace Samphirepitch
{

namespace
{

constexpr std::size_t domainFieldCount = 3;
constexpr std::size_t poolFieldCount = 4;
constexpr std::size_t serverFieldCount = 8;
constexpr std::size_t policyFieldCount = 10;
constexpr std::size_t serviceFieldCount = 7;
constexpr std::uint32_t maxCount = std::numeric_limits<std::uint32_t>::max();
constexpr std::uint64_t maxEndpoint = (std::uint64_t(1) << 48) - 1;

// An endpoint is encoded as a 48-bit number: the IPv4 address in the upper 32 bits and the port in the lower 16 bits.
void writeEndpoint(PartWriter &writer, Endpoint endpoint)
{
    writer.number(static_cast<std::uint64_t>(endpoint.address()) << 16 | endpoint.port());
}

Endpoint readEndpoint(PartReader &reader)
{
    const std::uint64_t number = reader.number(maxEndpoint);
    return Endpoint(static_cast<std::uint32_t>(number >> 16), static_cast<std::uint16_t>(number & 0xffff));
}

std::uint32_t readCount(PartReader &reader)
{
    return static_cast<std::uint32_t>(reader.number(maxCount));
}

void writeMilliseconds(PartWriter &writer, std::chrono::milliseconds value)
{
    writer.number(static_cast<std::uint64_t>(value.count()));
}

std::chrono::milliseconds readMilliseconds(PartReader &reader)
{
    return std::chrono::milliseconds(readCount(reader));
}

void writeStrings(PartWriter &writer, const std::vector<std::string> &texts)
{
    writer.array(texts.size());
    for (const std::string &text : texts) {
        writer.text(text);
    }
}

std::vector<std::string> readStrings(PartReader &reader, std::size_t count, std::size_t size)
{
    std::vector<std::string> texts(reader.array(count));
    for (std::string &text : texts) {
        text = reader.text(size);
    }
    return texts;
}

void writeServer(PartWriter &writer, const BackendServer &server)
{
    writer.array(serverFieldCount);
    writer.text(server.name());
    writer.text(server.failureDomain());
    writeEndpoint(writer, server.address());
    writeEndpoint(writer, server.health());
    writer.number(server.weight());
    writer.number(server.slots());
    writer.number(server.connections());
    writer.number(static_cast<std::uint64_t>(server.state()));
}

BackendServer readServer(PartReader &reader)
{
    BackendServer::Fields fields;
    reader.tuple(serverFieldCount);
    fields.name = reader.text(Limits::nameSize);
    fields.failureDomain = reader.text(Limits::nameSize);
    fields.address = readEndpoint(reader);
    fields.health = readEndpoint(reader);
    fields.weight = readCount(reader);
    fields.slots = readCount(reader);
    fields.connections = readCount(reader);
    fields.state = static_cast<ServerState>(reader.number(static_cast<std::uint64_t>(ServerState::Drain)));
    return BackendServer(std::move(fields));
}

FailureDomain readDomain(PartReader &reader)
{
    FailureDomain::Fields fields;
    fields.name = reader.text(Limits::nameSize);
    fields.region = reader.text(Limits::nameSize);
    return FailureDomain(std::move(fields));
}

BackendPool readPool(PartReader &reader)
{
    BackendPool::Fields fields;
    fields.name = reader.text(Limits::nameSize);
    const std::uint32_t count = reader.array(Limits::serversPerPool);
    for (std::uint32_t index = 0; index < count && !reader.failed(); ++index) {
        fields.servers.push_back(readServer(reader));
    }
    fields.domains = readStrings(reader, Limits::domainsPerPool, Limits::nameSize);
    return BackendPool(std::move(fields));
}

Policy readPolicy(PartReader &reader)
{
    Policy::Fields fields;
    fields.name = reader.text(Limits::nameSize);
    fields.fallback = reader.text(Limits::nameSize);
    fields.requestTimeout = readMilliseconds(reader);
    fields.repeatWindow = readMilliseconds(reader);
    fields.queueLimit = readCount(reader);
    fields.retryBudgetPercent = readCount(reader);
    fields.idempotentMethods = readStrings(reader, Limits::methodsPerPolicy, Limits::methodSize);
    fields.drainTimeout = readMilliseconds(reader);
    fields.flowIdleTimeout = readMilliseconds(reader);
    return Policy(std::move(fields));
}

Service readService(PartReader &reader)
{
    Service::Fields fields;
    fields.name = reader.text(Limits::nameSize);
    fields.address = readEndpoint(reader);
    fields.protocol = static_cast<Protocol>(reader.number(static_cast<std::uint64_t>(Protocol::Opaque)));
    fields.affinity = static_cast<Affinity>(reader.number(static_cast<std::uint64_t>(Affinity::Request)));
    fields.pool = reader.text(Limits::nameSize);
    fields.policy = reader.text(Limits::nameSize);
    return Service(std::move(fields));
}

void readObject(PartReader &reader, ConfigSet::Fields &fields)
{
    const std::uint32_t count = reader.array(policyFieldCount);
    const auto kind = static_cast<ObjectKind>(reader.number(static_cast<std::uint64_t>(ObjectKind::Service)));
    constexpr std::size_t counts[] { domainFieldCount, poolFieldCount, policyFieldCount, serviceFieldCount };
    if (!reader.failed() && count != counts[static_cast<std::size_t>(kind)]) {
        reader.fail(
            ErrorKind::Malformed, std::string(objectKindName(kind)) + " has a wrong number of values (" + std::to_string(count) + ")");
    }
    if (reader.failed()) {
        return;
    }
    switch (kind) {
    case ObjectKind::FailureDomain:
        fields.failureDomains.push_back(readDomain(reader));
        break;
    case ObjectKind::Pool:
        fields.pools.push_back(readPool(reader));
        break;
    case ObjectKind::Policy:
        fields.policies.push_back(readPolicy(reader));
        break;
    case ObjectKind::Service:
        fields.services.push_back(readService(reader));
        break;
    }
}

void writeObjectHeader(PartWriter &writer, std::size_t fields, ObjectKind kind, const std::string &name)
{
    writer.array(fields);
    writer.number(static_cast<std::uint64_t>(kind));
    writer.text(name);
}

} // namespace

std::string_view objectKindName(ObjectKind kind)
{
    switch (kind) {
    case ObjectKind::FailureDomain:
        return "failure_domain";
    case ObjectKind::Pool:
        return "pool";
    case ObjectKind::Policy:
        return "policy";
    case ObjectKind::Service:
        return "service";
    }
    return "unknown_kind";
}

std::string ObjectCodec::encode(const FailureDomain &domain)
{
    PartWriter writer;
    writeObjectHeader(writer, domainFieldCount, ObjectKind::FailureDomain, domain.name());
    writer.text(domain.region());
    return writer.take();
}

std::string ObjectCodec::encode(const BackendPool &pool)
{
    PartWriter writer;
    writeObjectHeader(writer, poolFieldCount, ObjectKind::Pool, pool.name());
    writer.array(pool.servers().size());
    for (const BackendServer &server : pool.servers()) {
        writeServer(writer, server);
    }
    writeStrings(writer, pool.domains());
    return writer.take();
}

std::string ObjectCodec::encode(const Policy &policy)
{
    PartWriter writer;
    writeObjectHeader(writer, policyFieldCount, ObjectKind::Policy, policy.name());
    writer.text(policy.fallback());
    writeMilliseconds(writer, policy.requestTimeout());
    writeMilliseconds(writer, policy.repeatWindow());
    writer.number(policy.queueLimit());
    writer.number(policy.retryBudgetPercent());
    writeStrings(writer, policy.idempotentMethods());
    writeMilliseconds(writer, policy.drainTimeout());
    writeMilliseconds(writer, policy.flowIdleTimeout());
    return writer.take();
}

std::string ObjectCodec::encode(const Service &service)
{
    PartWriter writer;
    writeObjectHeader(writer, serviceFieldCount, ObjectKind::Service, service.name());
    writeEndpoint(writer, service.address());
    writer.number(static_cast<std::uint64_t>(service.protocol()));
    writer.number(static_cast<std::uint64_t>(service.affinity()));
    writer.text(service.pool());
    writer.text(service.policy());
    return writer.take();
}

Result<void> ObjectCodec::decodeLeaf(std::string_view bytes, ConfigSet::Fields &fields)
{
    PartReader reader(bytes, "leaf part");
    const std::uint32_t count = reader.array(Limits::objectsPerLeaf);
    for (std::uint32_t index = 0; index < count && !reader.failed(); ++index) {
        readObject(reader, fields);
    }
    return reader.finish();
}

} // namespace Samphirepitch
