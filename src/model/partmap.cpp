#include "model/partmap.h"

#include <utility>

namespace Samphirepitch
{

void PartMap::add(const ContentName &name, std::string content)
{
    m_parts[name] = std::make_shared<const std::string>(std::move(content));
}

std::shared_ptr<const std::string> PartMap::part(const ContentName &name) const
{
    const auto found = m_parts.find(name);
    return found == m_parts.end() ? nullptr : found->second;
}

} // namespace Samphirepitch
