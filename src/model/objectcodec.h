#pragma once

#include "core/error.h"
#include "model/configset.h"

#include <string>
#include <string_view>

namespace Samphirepitch
{

/** The kinds of configuration objects. The values are written to the encoding and must not change. */
enum class ObjectKind {
    FailureDomain = 0,
    Pool = 1,
    Policy = 2,
    Service = 3,
};

/** Returns the name of @p kind as it is written in configuration files, such as "failure_domain". */
std::string_view objectKindName(ObjectKind kind);

/**
 * The canonical MessagePack encoding of configuration objects: an array of the kind and all fields in the order of the Fields
 * struct.
 */
class ObjectCodec
{
public:
    /** Return the encoding of an object. Equal objects give equal bytes. */
    static std::string encode(const FailureDomain &domain);
    static std::string encode(const BackendPool &pool);
    static std::string encode(const Policy &policy);
    static std::string encode(const Service &service);

    /**
     * Decodes a leaf part, which is an array of encoded objects.
     * @param bytes content of the part
     * @param fields receives the objects in addition to those it holds; unspecified after a failure
     * @return Malformed if the bytes do not follow the format; TooLarge if a length or count is above its limit in limits.h
     */
    static Result<void> decodeLeaf(std::string_view bytes, ConfigSet::Fields &fields);
};

} // namespace Samphirepitch
