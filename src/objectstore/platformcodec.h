#pragma once

#include "objectstore/platform.h"

#include <string>
#include <string_view>
#include <vector>

namespace Samphirepitch
{

/** Encoder and decoder of the JSON lists of the platform's API (docs/platform-api.md). */
class PlatformCodec
{
public:
    static std::string encodeObject(const PlatformObject &object);

    /** Decodes the response of /v1/list. @return the objects; Malformed if @p json is not such a list */
    static Result<std::vector<PlatformObject>> decodeObjects(std::string_view json);

    static std::string encodeInstance(const ListedInstance &instance);

    /**
     * Decodes an entry of the instance list.
     * @param json a JSON object
     * @param id the id of the instance if @p json has none
     * @return the entry; Malformed if a field is missing or not valid
     */
    static Result<ListedInstance> decodeInstance(std::string_view json, std::string_view id = {});

    /** Decodes the response of /v1/instances. @return the list; Malformed if @p json is not such a list */
    static Result<std::vector<ListedInstance>> decodeInstances(std::string_view json);

    /** Returns whether @p key is a valid key: 1..200 bytes of a-z, 0-9, '-', '.', '/'. */
    static bool isKey(std::string_view key);

    /** Returns whether @p prefix is empty or a valid key. */
    static bool isPrefix(std::string_view prefix);
};

} // namespace Samphirepitch
