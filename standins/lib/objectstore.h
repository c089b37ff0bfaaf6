#pragma once

#include "objectstore/platform.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Samphirepitch::StandIn
{

/** The platform's objects in memory, with conditional updates. */
class ObjectStore
{
public:
    /** Returns an object, or null. */
    const PlatformObject *find(std::string_view key) const;

    /** Returns the version of an object, or 0 if it does not exist. */
    std::uint64_t version(std::string_view key) const;

    /**
     * Writes an object if its version is @p expectedVersion (0: it must not exist).
     * @return the new version, or VersionConflict
     */
    Result<std::uint64_t> write(const std::string &key, std::string body, std::uint64_t expectedVersion);

    /** Lists the objects whose key starts with @p prefix, sorted by key. */
    std::vector<PlatformObject> list(std::string_view prefix) const;

    /** Keeps a copy of all objects. */
    void takeSnapshot();

    /** Replaces all objects by the kept copy, with its older versions. */
    void restoreSnapshot();

private:
    using Objects = std::map<std::string, PlatformObject, std::less<>>;

    Objects m_objects;
    Objects m_snapshot;
};

} // namespace Samphirepitch::StandIn
