#pragma once

#include "core/clock.h"
#include "core/error.h"
#include "core/hash.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace Samphirepitch
{

/** The root of the hash tree of a generation; stored as a content-addressed part. Immutable. */
class HeadRecord
{
public:
    static constexpr std::size_t indexCount = 64; /**< index parts of a generation */

    /** The values of all fields. */
    struct Fields {
        std::uint64_t generation = 0; /**< number of the generation, from 1; incremented by each accepted change */
        std::array<ContentName, indexCount> indexes; /**< names of the index parts; unset for an index without objects */
        ContentName previous; /**< name of the head record of the previous generation; unset in the first */
        std::string changeId; /**< unique id chosen by the client, which finds the change by it after a lost response; 1..64 bytes */
        std::string author; /**< user who applied the change; at most 128 bytes */
        WallTime acceptedAt; /**< time at which the client created the record */

        friend bool operator==(const Fields &, const Fields &) = default;
    };

    explicit HeadRecord(Fields fields);

    /**
     * Decodes a record.
     * @param bytes content of the part
     * @return the record; Malformed if the bytes do not follow the format; TooLarge if a length is above its limit
     */
    static Result<HeadRecord> decode(std::string_view bytes);

    /** Returns the canonical encoding. Equal records give equal bytes. */
    std::string encode() const;

    std::uint64_t generation() const;
    const std::array<ContentName, indexCount> &indexes() const;
    ContentName previous() const;
    const std::string &changeId() const;
    const std::string &author() const;
    WallTime acceptedAt() const;

    friend bool operator==(const HeadRecord &, const HeadRecord &) = default;

private:
    Fields m_fields;
};

/** A reference to a generation. The platform object "head" and the announcements between instances hold the newest one. */
struct HeadPointer {
    std::uint64_t generation = 0;
    ContentName record;

    /** Decodes a pointer. @return the pointer, or Malformed or TooLarge if the bytes do not follow the format */
    static Result<HeadPointer> decode(std::string_view bytes);

    /** Returns the encoding that decode() reads. */
    std::string encode() const;

    friend bool operator==(const HeadPointer &, const HeadPointer &) = default;
};

} // namespace Samphirepitch
