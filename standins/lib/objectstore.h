#pragma once

#include "objectstore/platform.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Samphirepitch::StandIn
{

/** The platform's objects, kept in memory, with versions and conditional writes. */
class ObjectStore
{
public:
    /** Returns the object of a key, or null; valid until the next non-const call. */
    const PlatformObject *find(std::string_view key) const;

    /** Returns the version of an object, or 0 if it does not exist. */
    std::uint64_t version(std::string_view key) const;

    /**
     * Writes an object if its current version is the expected one.
     * @param key key of the object
     * @param body new content
     * @param expectedVersion current version; 0 if the object must not exist
     * @return the new version; VersionConflict if the current version differs
     */
    Result<std::uint64_t> write(const std::string &key, std::string body, std::uint64_t expectedVersion);

    /** Lists the objects whose key starts with @p prefix, sorted by key. */
    std::vector<PlatformObject> list(std::string_view prefix) const;

    /** Saves a copy of all objects; it replaces the previous copy. */
    void takeSnapshot();

    /** Replaces all objects and their versions by the saved copy, as a restore from a backup does. */
    void restoreSnapshot();

private:
    using Objects = std::map<std::string, PlatformObject, std::less<>>;

    Objects m_objects;
    Objects m_snapshot;
};

} // namespace Samphirepitch::StandIn
