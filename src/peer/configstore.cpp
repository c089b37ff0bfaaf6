#include "peer/configstore.h"

#include <algorithm>
#include <utility>

namespace Samphirepitch
{

ConfigStore::ConfigStore(std::size_t capacity)
    : m_capacity(capacity)
{
}

std::shared_ptr<const std::string> ConfigStore::part(const ContentName &name) const
{
    const auto found = m_parts.find(name);
    return found == m_parts.end() ? nullptr : found->second;
}

Result<void> ConfigStore::put(const ContentName &name, std::string content)
{
    if (ContentName::of(content) != name) {
        return failure(ErrorKind::Malformed, name.toHex(), "the content does not match its name");
    }
    if (m_parts.contains(name)) {
        return {};
    }
    if (m_bytes + content.size() > m_capacity) {
        return failure(ErrorKind::TooLarge, name.toHex(), "the store is full: " + std::to_string(m_bytes) + " bytes held");
    }
    m_bytes += content.size();
    m_parts.emplace(name, std::make_shared<const std::string>(std::move(content)));
    return {};
}

void ConfigStore::retain(std::vector<ContentName> names)
{
    std::sort(names.begin(), names.end());
    for (auto next = m_parts.begin(); next != m_parts.end();) {
        const auto current = next++;
        if (!std::binary_search(names.begin(), names.end(), current->first)) {
            m_bytes -= current->second->size();
            m_parts.erase(current);
        }
    }
}

std::size_t ConfigStore::bytes() const
{
    return m_bytes;
}

} // namespace Samphirepitch
