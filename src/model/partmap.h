#pragma once

#include "model/partsource.h"

#include <map>
#include <memory>
#include <string>

namespace Samphirepitch
{

/** Parts held in memory. */
class PartMap : public PartSource
{
public:
    PartMap() = default;

    /** Takes @p content as the content of the part @p name; the caller has verified that they match. */
    void add(const ContentName &name, std::string content);

    std::shared_ptr<const std::string> part(const ContentName &name) const override;

private:
    std::map<ContentName, std::shared_ptr<const std::string>> m_parts;
};

} // namespace Samphirepitch
