#pragma once

#include "core/error.h"
#include "model/partsource.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Samphirepitch
{

/** Holds the parts of the held generation, and those of the generation that is being pulled. */
class ConfigStore : public PartSource
{
public:
    /** Bytes; the parts of the planned size take about 10 MB, and two generations may share none of them. */
    static constexpr std::size_t defaultCapacity = 24 * 1024 * 1024;

    explicit ConfigStore(std::size_t capacity = defaultCapacity);

    std::shared_ptr<const std::string> part(const ContentName &name) const override;

    /**
     * Takes a part.
     * @return Malformed if @p content does not have that name, or TooLarge if the store is full
     */
    Result<void> put(const ContentName &name, std::string content);

    /** Drops all parts that are not in @p names. */
    void retain(std::vector<ContentName> names);

    /** Bytes of all parts. */
    std::size_t bytes() const;

private:
    std::size_t m_capacity;
    std::size_t m_bytes = 0;
    std::map<ContentName, std::shared_ptr<const std::string>> m_parts;
};

} // namespace Samphirepitch
