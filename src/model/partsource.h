#pragma once

#include "core/hash.h"

#include <memory>
#include <string>

namespace Samphirepitch
{

/** A read-only store of parts, which are addressed by the hash of their content. */
class PartSource
{
public:
    virtual ~PartSource() = default;

    /** Must return the content of the part @p name, or null if the source does not hold it. */
    virtual std::shared_ptr<const std::string> part(const ContentName &name) const = 0;
};

} // namespace Samphirepitch
