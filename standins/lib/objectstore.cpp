#include "lib/objectstore.h"

#include <utility>

namespace Samphirepitch::StandIn
{

const PlatformObject *ObjectStore::find(std::string_view key) const
{
    const auto found = m_objects.find(key);
    return found == m_objects.end() ? nullptr : &found->second;
}

std::uint64_t ObjectStore::version(std::string_view key) const
{
    const PlatformObject *const object = find(key);
    return object == nullptr ? 0 : object->version;
}

Result<std::uint64_t> ObjectStore::write(const std::string &key, std::string body, std::uint64_t expectedVersion)
{
    const std::uint64_t current = version(key);
    if (current != expectedVersion) {
        return failure(ErrorKind::VersionConflict, key, "the current version is " + std::to_string(current));
    }
    m_objects[key] = PlatformObject { key, std::move(body), current + 1 };
    return current + 1;
}

std::vector<PlatformObject> ObjectStore::list(std::string_view prefix) const
{
    std::vector<PlatformObject> objects;
    for (auto entry = m_objects.lower_bound(prefix); entry != m_objects.end() && entry->first.starts_with(prefix); ++entry) {
        objects.push_back(entry->second);
    }
    return objects;
}

void ObjectStore::takeSnapshot()
{
    m_snapshot = m_objects;
}

void ObjectStore::restoreSnapshot()
{
    m_objects = m_snapshot;
}

} // namespace Samphirepitch::StandIn
