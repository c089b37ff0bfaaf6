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

std::string leafPart(const std::vector<std::string> &objects)
{
    PartWriter writer;
    writer.array(objects.size());
    for (const std::string &object : objects) {
        writer.raw(object);
    }
    return writer.take();
}

std::string indexPart(const LeafNames &leaves)
{
    PartWriter writer;
    writer.names(leaves);
    return writer.take();
}

Result<LeafNames> readIndex(std::string_view bytes)
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

/** Calls @p visit with the name and the content (null if not held) of each part of @p head, each index before its leaves. */
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
        const auto leaves = readIndex(*content);
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
            names[leaf] = objects.empty() ? ContentName() : add(leafPart(objects));
        }
        const bool empty = std::all_of(names.begin(), names.end(), [](const ContentName &name) { return name.isUnset(); });
        tree.m_indexes[index] = empty ? ContentName() : add(indexPart(names));
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
    Result<void> read;
    const auto status = visitParts(head, source, [&](const ContentName &name, const auto &content, bool isLeaf) {
        if (!read) {
            return;
        }
        if (!content) {
            read = failure(
                ErrorKind::NotFound, "part " + name.toHex(), "generation " + std::to_string(head.generation()) + " is incomplete");
        } else if (isLeaf) {
            read = ObjectCodec::decodeLeaf(*content, fields);
        }
    });
    if (!status || !read) {
        return tl::unexpected(status ? read.error() : status.error());
    }
    return ConfigSet(std::move(fields));
}

} // namespace Samphirepitch
