#pragma once

#include "objectstore/platform.h"

#include <string>
#include <string_view>
#include <vector>

namespace Samphirepitch
{

/** The JSON of the platform's lists (docs/platform-api.md). */
class PlatformCodec
{
public:
    static std::string encodeObject(const PlatformObject &object);

    /** Reads the answer of /v1/list. @return the objects, or Malformed */
    static Result<std::vector<PlatformObject>> decodeObjects(std::string_view json);

    static std::string encodeInstance(const ListedInstance &instance);

    /**
     * Reads one entry of the instance list.
     * @param id the id if the entry has none
     * @return the entry, or Malformed
     */
    static Result<ListedInstance> decodeInstance(std::string_view json, std::string_view id = {});

    /** Reads the answer of /v1/instances. @return the list, or Malformed */
    static Result<std::vector<ListedInstance>> decodeInstances(std::string_view json);

    /** Returns whether @p key has 1..200 bytes of a-z, 0-9, '-', '.', '/'. */
    static bool isKey(std::string_view key);

    /** Returns whether @p prefix is empty or a key. */
    static bool isPrefix(std::string_view prefix);
};

} // namespace Samphirepitch
