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

/** The immutable description of one accepted generation; stored as a part and named by its content. */
class HeadRecord
{
public:
    static constexpr std::size_t indexCount = 64; /**< index parts of a generation */

    /** The values of all fields. */
    struct Fields {
        std::uint64_t generation = 0; /**< rises by one with each accepted change */
        std::array<ContentName, indexCount> indexes; /**< names of the index parts; unset where a part would be empty */
        ContentName previous; /**< name of the head record before this one; unset in the first */
        std::string changeId; /**< chosen by the client; finds the change again after a lost answer; 1..64 bytes */
        std::string author; /**< who applied the change; at most 128 bytes */
        WallTime acceptedAt; /**< when the client made the record */

        friend bool operator==(const Fields &, const Fields &) = default;
    };

    explicit HeadRecord(Fields fields);

    /**
     * Reads an encoded record.
     * @param bytes content of the part
     * @return the record, Malformed, or TooLarge
     */
    static Result<HeadRecord> decode(std::string_view bytes);

    /** Returns the canonical encoding: the same record always gives the same bytes. */
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

/** The value of the platform object "head" and of an announcement: the newest generation and the name of its record. */
struct HeadPointer {
    std::uint64_t generation = 0;
    ContentName record;

    /** Reads an encoded pointer; returns Malformed if the bytes do not follow the format. */
    static Result<HeadPointer> decode(std::string_view bytes);

    /** Returns the encoding of the pointer. */
    std::string encode() const;

    friend bool operator==(const HeadPointer &, const HeadPointer &) = default;
};

} // namespace Samphirepitch
