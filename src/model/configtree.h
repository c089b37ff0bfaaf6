#pragma once

#include "core/error.h"
#include "model/configset.h"
#include "model/headrecord.h"
#include "model/partsource.h"

#include <array>
#include <map>
#include <string>
#include <vector>

namespace Samphirepitch
{

/**
 * The encoded form of a configuration: a hash tree of content-addressed parts. Objects are encoded with MessagePack and
 * assigned to 4,096 leaf parts by the hash of their kind and name. Each of 64 index parts lists the names of 64 leaves.
 *
 * A change of one object replaces one leaf and one index, so peers and the platform transfer about 3 KB at the planned size.
 */
class ConfigTree
{
public:
    static constexpr std::size_t leavesPerIndex = 64;
    static constexpr std::size_t maxPartSize = 1024 * 1024; /**< bytes; maximum size of an object on the platform */

    /** Encodes @p set. Equal sets give the same parts. */
    static ConfigTree of(const ConfigSet &set);

    /** Returns the names of the index parts, as the head record lists them; unset for an index without objects. */
    const std::array<ContentName, HeadRecord::indexCount> &indexes() const;

    /** Returns all index and leaf parts by name. */
    const std::map<ContentName, std::string> &parts() const;

    /**
     * Lists the parts of @p head that are missing in @p source. Leaves of a missing index part are unknown and not listed.
     * @return the names, none if the generation is complete; Malformed or TooLarge if an index part cannot be decoded
     */
    static Result<std::vector<ContentName>> missingParts(const HeadRecord &head, const PartSource &source);

    /**
     * Lists the index and leaf parts of @p head that are present in @p source.
     * @return the names; Malformed or TooLarge if an index part cannot be decoded
     */
    static Result<std::vector<ContentName>> referencedParts(const HeadRecord &head, const PartSource &source);

    /**
     * Decodes the configuration of a complete generation.
     * @param head the head record of the generation
     * @param source holds all parts of the generation
     * @return the configuration; NotFound if a part is missing; Malformed if a part does not follow the format;
     *  TooLarge if a length or count is above its limit
     */
    static Result<ConfigSet> assemble(const HeadRecord &head, const PartSource &source);

    /**
     * Builds the configuration of a complete generation from an earlier one. Only leaves that differ are decoded; unchanged
     * objects are shared with the earlier configuration.
     * @param previous the configuration of @p previousHead
     * @param previousHead the head record of the earlier generation
     * @param head the head record of the new generation
     * @param source holds the parts that differ between both generations
     * @return the configuration that assemble() returns for @p head, or the same kinds of failure
     */
    static Result<ConfigSet> assembleIncrementally(
        const ConfigSet &previous, const HeadRecord &previousHead, const HeadRecord &head, const PartSource &source);

private:
    ConfigTree() = default;

    std::array<ContentName, HeadRecord::indexCount> m_indexes;
    std::map<ContentName, std::string> m_parts;
};

} // namespace Samphirepitch
