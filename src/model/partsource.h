#pragma once

#include "core/hash.h"

#include <memory>
#include <string>

namespace Samphirepitch
{

/** A place that holds parts by name. */
class PartSource
{
public:
    virtual ~PartSource() = default;

    /** Returns the content of the part @p name, or null if it is not held here. */
    virtual std::shared_ptr<const std::string> part(const ContentName &name) const = 0;
};

} // namespace Samphirepitch
