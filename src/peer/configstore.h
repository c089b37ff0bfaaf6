#pragma once

#include "core/error.h"
#include "model/partsource.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Samphirepitch
{

/** Stores the configuration parts of the held generation and of the generation that is being pulled. */
class ConfigStore : public PartSource
{
public:
    /**
     * Default capacity in bytes. The parts of a configuration of the planned size take about 10 MB, and two generations may have no
     * part in common.
     */
    static constexpr std::size_t defaultCapacity = 24 * 1024 * 1024;

    /** @param capacity maximum total size of the parts in bytes */
    explicit ConfigStore(std::size_t capacity = defaultCapacity);

    std::shared_ptr<const std::string> part(const ContentName &name) const override;

    /**
     * Stores a part; does nothing if it is stored already.
     * @param name hash of the content
     * @param content bytes of the part
     * @return Malformed if @p content does not match @p name, or TooLarge if the store is full
     */
    Result<void> put(const ContentName &name, std::string content);

    /** Removes all parts except those in @p names. */
    void retain(std::vector<ContentName> names);

    /** Returns the total size of all parts in bytes. */
    std::size_t bytes() const;

private:
    std::size_t m_capacity;
    std::size_t m_bytes = 0;
    std::map<ContentName, std::shared_ptr<const std::string>> m_parts;
};

} // namespace Samphirepitch
