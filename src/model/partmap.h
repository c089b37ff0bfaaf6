#pragma once

#include "model/partsource.h"

#include <map>
#include <memory>
#include <string>

namespace Samphirepitch
{

/** A PartSource that keeps its parts in memory. */
class PartMap : public PartSource
{
public:
    PartMap() = default;

    /** Adds a part. @p name must be the hash of @p content; this is not verified. */
    void add(const ContentName &name, std::string content);

    std::shared_ptr<const std::string> part(const ContentName &name) const override;

private:
    std::map<ContentName, std::shared_ptr<const std::string>> m_parts;
};

} // namespace Samphirepitch
