#include "model/configtree.h"

#include "model/internal/partreader.h"
#include "model/internal/partwriter.h"
#include "model/objectcodec.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace Samphirepitch
{

namespace
{

constexpr std::size_t leafCount = HeadRecord::indexCount * ConfigTree::leavesPerIndex;

using Leaves = std::array<std::vector<std::string>, leafCount>;
using LeafNames = std::array<ContentName, ConfigTree::leavesPerIndex>;

template<typename Object>
void assignToLeaves(const std::vector<Object> &objects, ObjectKind kind, Leaves &leaves)
{
    for (const Object &object : objects) {
        const std::uint64_t hash = hash64(object.name(), static_cast<std::uint64_t>(kind));
        leaves[hash % leafCount].push_back(ObjectCodec::encode(object));
    }
}

std::string encodeLeaf(const std::vector<std::string> &objects)
{
    PartWriter writer;
    writer.array(objects.size());
    for (const std::string &object : objects) {
        writer.raw(object);
    }
    return writer.take();
}

std::string encodeIndex(const LeafNames &leaves)
{
    PartWriter writer;
    writer.names(leaves);
    return writer.take();
}

Result<LeafNames> decodeIndex(std::string_view bytes)
{
    PartReader reader(bytes, "index part");
    const std::string_view names = reader.binary(ConfigTree::leavesPerIndex * ContentName::size);
    if (const auto status = reader.finish(); !status) {
        return tl::unexpected(status.error());
    }
    LeafNames leaves;
    for (std::size_t leaf = 0; leaf < leaves.size(); ++leaf) {
        leaves[leaf] = nameAt(names, leaf * ContentName::size);
    }
    return leaves;
}

/**
 * Calls @p visit for each part of @p head with its name, its content (null if missing) and whether it is a leaf. An index is
 * visited before its leaves. @return Malformed or TooLarge if an index cannot be decoded
 */
template<typename Visit>
Result<void> visitParts(const HeadRecord &head, const PartSource &source, Visit visit)
{
    for (const ContentName &index : head.indexes()) {
        if (index.isUnset()) {
            continue;
        }
        const auto content = source.part(index);
        visit(index, content, false);
        if (!content) {
            continue;
        }
        const auto leaves = decodeIndex(*content);
        if (!leaves) {
            return tl::unexpected(leaves.error());
        }
        for (const ContentName &leaf : *leaves) {
            if (!leaf.isUnset()) {
                visit(leaf, source.part(leaf), true);
            }
        }
    }
    return {};
}

Result<LeafNames> readIndexLeaves(const ContentName &index, const PartSource &source)
{
    if (index.isUnset()) {
        return LeafNames {};
    }
    const auto content = source.part(index);
    if (!content) {
        return failure(ErrorKind::NotFound, "part " + index.toHex(), "the index part is missing");
    }
    return decodeIndex(*content);
}

Result<void> readLeafObjects(const ContentName &leaf, const PartSource &source, ConfigSet::Fields &fields)
{
    if (leaf.isUnset()) {
        return {};
    }
    const auto content = source.part(leaf);
    if (!content) {
        return failure(ErrorKind::NotFound, "part " + leaf.toHex(), "the leaf part is missing");
    }
    return ObjectCodec::decodeLeaf(*content, fields);
}

/** Decodes the leaves that differ between two generations into @p removed (old leaves) and @p added (new leaves). */
Result<void> decodeChangedLeaves(
    const HeadRecord &previousHead, const HeadRecord &head, const PartSource &source, ConfigSet::Fields &removed, ConfigSet::Fields &added)
{
    for (std::size_t index = 0; index < HeadRecord::indexCount; ++index) {
        if (previousHead.indexes()[index] == head.indexes()[index]) {
            continue;
        }
        const auto previous = readIndexLeaves(previousHead.indexes()[index], source);
        const auto current = readIndexLeaves(head.indexes()[index], source);
        if (!previous || !current) {
            return tl::unexpected(previous ? current.error() : previous.error());
        }
        for (std::size_t leaf = 0; leaf < ConfigTree::leavesPerIndex; ++leaf) {
            if ((*previous)[leaf] == (*current)[leaf]) {
                continue;
            }
            Result<void> decoded = readLeafObjects((*previous)[leaf], source, removed);
            if (decoded) {
                decoded = readLeafObjects((*current)[leaf], source, added);
            }
            if (!decoded) {
                return decoded;
            }
        }
    }
    return {};
}

template<typename Object>
bool byName(const Object &left, const Object &right)
{
    return left.name() < right.name();
}

/**
 * Returns the sorted @p objects without those named in @p removed and with those of @p added. If a removed object is added
 * again unchanged, the old object is kept, so that its fields stay shared.
 */
template<typename Object>
std::vector<Object> applyChanges(const std::vector<Object> &objects, std::vector<Object> removed, std::vector<Object> added)
{
    std::sort(removed.begin(), removed.end(), byName<Object>);
    std::sort(added.begin(), added.end(), byName<Object>);
    std::vector<Object> result;
    result.reserve(objects.size() + added.size());
    auto next = added.begin();
    for (const Object &object : objects) {
        if (!removed.empty() && std::binary_search(removed.begin(), removed.end(), object, byName<Object>)) {
            const auto position = std::lower_bound(next, added.end(), object, byName<Object>);
            result.insert(result.end(), next, position);
            next = position;
            if (next != added.end() && next->name() == object.name()) {
                result.push_back(*next == object ? object : *next);
                ++next;
            }
            continue;
        }
        while (next != added.end() && next->name() < object.name()) {
            result.push_back(*next++);
        }
        result.push_back(object);
    }
    result.insert(result.end(), next, added.end());
    return result;
}

} // namespace

ConfigTree ConfigTree::of(const ConfigSet &set)
{
    const auto leaves = std::make_unique<Leaves>();
    assignToLeaves(set.failureDomains(), ObjectKind::FailureDomain, *leaves);
    assignToLeaves(set.pools(), ObjectKind::Pool, *leaves);
    assignToLeaves(set.policies(), ObjectKind::Policy, *leaves);
    assignToLeaves(set.services(), ObjectKind::Service, *leaves);
    ConfigTree tree;
    const auto add = [&tree](std::string content) {
        const ContentName name = ContentName::of(content);
        tree.m_parts.emplace(name, std::move(content));
        return name;
    };
    for (std::size_t index = 0; index < HeadRecord::indexCount; ++index) {
        LeafNames names;
        for (std::size_t leaf = 0; leaf < leavesPerIndex; ++leaf) {
            const auto &objects = (*leaves)[index * leavesPerIndex + leaf];
            names[leaf] = objects.empty() ? ContentName() : add(encodeLeaf(objects));
        }
        const bool empty = std::all_of(names.begin(), names.end(), [](const ContentName &name) { return name.isUnset(); });
        tree.m_indexes[index] = empty ? ContentName() : add(encodeIndex(names));
    }
    return tree;
}

const std::array<ContentName, HeadRecord::indexCount> &ConfigTree::indexes() const
{
    return m_indexes;
}

const std::map<ContentName, std::string> &ConfigTree::parts() const
{
    return m_parts;
}

Result<std::vector<ContentName>> ConfigTree::missingParts(const HeadRecord &head, const PartSource &source)
{
    std::vector<ContentName> names;
    const auto status = visitParts(head, source, [&names](const ContentName &name, const auto &content, bool) {
        if (!content) {
            names.push_back(name);
        }
    });
    if (!status) {
        return tl::unexpected(status.error());
    }
    return names;
}

Result<std::vector<ContentName>> ConfigTree::referencedParts(const HeadRecord &head, const PartSource &source)
{
    std::vector<ContentName> names;
    const auto status = visitParts(head, source, [&names](const ContentName &name, const auto &content, bool) {
        if (content) {
            names.push_back(name);
        }
    });
    if (!status) {
        return tl::unexpected(status.error());
    }
    return names;
}

Result<ConfigSet> ConfigTree::assemble(const HeadRecord &head, const PartSource &source)
{
    ConfigSet::Fields fields;
    Result<void> decoded;
    const auto status = visitParts(head, source, [&](const ContentName &name, const auto &content, bool isLeaf) {
        if (!decoded) {
            return;
        }
        if (!content) {
            decoded = failure(
                ErrorKind::NotFound, "part " + name.toHex(), "generation " + std::to_string(head.generation()) + " is incomplete");
        } else if (isLeaf) {
            decoded = ObjectCodec::decodeLeaf(*content, fields);
        }
    });
    if (!status || !decoded) {
        return tl::unexpected(status ? decoded.error() : status.error());
    }
    return ConfigSet(std::move(fields));
}

Result<ConfigSet> ConfigTree::assembleIncrementally(
    const ConfigSet &previous, const HeadRecord &previousHead, const HeadRecord &head, const PartSource &source)
{
    ConfigSet::Fields removed;
    ConfigSet::Fields added;
    if (const auto decoded = decodeChangedLeaves(previousHead, head, source, removed, added); !decoded) {
        return tl::unexpected(decoded.error());
    }
    return ConfigSet(ConfigSet::Fields {
        .failureDomains = applyChanges(previous.failureDomains(), std::move(removed.failureDomains), std::move(added.failureDomains)),
        .pools = applyChanges(previous.pools(), std::move(removed.pools), std::move(added.pools)),
        .policies = applyChanges(previous.policies(), std::move(removed.policies), std::move(added.policies)),
        .services = applyChanges(previous.services(), std::move(removed.services), std::move(added.services)) });
}

} // namespace Samphirepitch
