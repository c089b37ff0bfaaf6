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
 * The hash tree of a configuration: objects are encoded with msgpack and assigned by the hash of kind and name to
 * 4,096 leaf parts; 64 index parts list 64 leaves each.
 *
 * One change touches one leaf and one index, so that peers and the platform move about 3 KB for it at the planned size.
 */
class ConfigTree
{
public:
    static constexpr std::size_t leavesPerIndex = 64;
    static constexpr std::size_t maxPartSize = 1024 * 1024; /**< bytes; the platform's limit for a value */

    /** Encodes @p set; the same set always gives the same parts. */
    static ConfigTree of(const ConfigSet &set);

    /** Names of the index parts, for the head record. */
    const std::array<ContentName, HeadRecord::indexCount> &indexes() const;

    /** All index and leaf parts by name. */
    const std::map<ContentName, std::string> &parts() const;

    /**
     * Lists the parts that @p head needs and @p source does not hold, as far as they can be seen: leaves of an index that
     * is itself missing are not listed. An empty list means that the generation is complete.
     * @return names, or Malformed if an index part cannot be read
     */
    static Result<std::vector<ContentName>> missingParts(const HeadRecord &head, const PartSource &source);

    /**
     * Lists all index and leaf parts of @p head that are held by @p source.
     * @return names, or Malformed
     */
    static Result<std::vector<ContentName>> referencedParts(const HeadRecord &head, const PartSource &source);

    /**
     * Builds the set of a complete generation.
     * @return the set, NotFound if a part is missing, or Malformed
     */
    static Result<ConfigSet> assemble(const HeadRecord &head, const PartSource &source);

    /**
     * Builds the set of a complete generation from an earlier one: only leaves that differ are decoded, and all other objects
     * are shared with the earlier set.
     * @param before the set of @p previousHead
     * @param source holds the parts of both generations
     * @return the same set as assemble(), NotFound if a part is missing, or Malformed
     */
    static Result<ConfigSet> assembleIncrementally(
        const ConfigSet &previous, const HeadRecord &previousHead, const HeadRecord &head, const PartSource &source);

private:
    ConfigTree() = default;

    std::array<ContentName, HeadRecord::indexCount> m_indexes;
    std::map<ContentName, std::string> m_parts;
};

} // namespace Samphirepitch
