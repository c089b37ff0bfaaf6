#pragma once

#include "core/error.h"
#include "model/configset.h"

#include <string>
#include <string_view>

namespace Samphirepitch
{

/** The kinds of operator objects; the values are part of the encoding. */
enum class ObjectKind {
    FailureDomain = 0,
    Pool = 1,
    Policy = 2,
    Service = 3,
};

/** Returns the name of @p kind as it is written in configuration files, such as "failure_domain". */
std::string_view objectKindName(ObjectKind kind);

/** The canonical msgpack encoding of operator objects: an array of the kind and all fields in the order of the class. */
class ObjectCodec
{
public:
    /** Return the encoding of an object; equal objects give equal bytes. */
    static std::string encode(const FailureDomain &domain);
    static std::string encode(const BackendPool &pool);
    static std::string encode(const Policy &policy);
    static std::string encode(const Service &service);

    /**
     * Decodes a leaf part, an array of encoded objects, and adds its objects to @p fields.
     * @return Malformed, or TooLarge if a length or count is above its limit in limits.h; @p fields is then unspecified
     */
    static Result<void> decodeLeaf(std::string_view bytes, ConfigSet::Fields &fields);
};

} // namespace Samphirepitch
