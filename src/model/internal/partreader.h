#pragma once

#include "core/error.h"
#include "core/hash.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace Samphirepitch
{

/**
 * Sequential reader of the MessagePack values of a part.
 *
 * The first error is kept and all later reads return empty values, so callers check for errors once, with finish(). Values
 * with a length or count above the limit are refused before memory is allocated.
 */
class PartReader
{
public:
    /**
     * @param bytes content of the part; must outlive the reader
     * @param subject describes the part in errors, such as "head record"
     */
    PartReader(std::string_view bytes, std::string subject);

    /** Reads the header of an array of at most @p limit values. @return the number of values; 0 after an error */
    std::uint32_t array(std::size_t limit);

    /** Reads the header of an array of exactly @p count values. */
    void tuple(std::size_t count);

    /** Reads an unsigned integer of 0..@p limit. @return the number; 0 after an error */
    std::uint64_t number(std::uint64_t limit);

    /** Reads a string of at most @p limit bytes. @return the string; empty after an error */
    std::string text(std::size_t limit);

    /** Reads a binary value of exactly @p size bytes. @return a view into the part; empty after an error */
    std::string_view binary(std::size_t size);

    /** Reads the name of a part. @return the name; unset after an error */
    ContentName name();

    bool failed() const;

    /** Records an error that the caller found, unless there is an earlier one. */
    void fail(ErrorKind kind, std::string detail);

    /** Returns the first error. Unread bytes are reported as Malformed. */
    Result<void> finish();

private:
    std::string_view readSized(int type, std::size_t limit, const char *expected);

    std::string_view m_bytes;
    std::string m_subject;
    Result<void> m_status;
};

/** Returns the part name in the 16 bytes of @p bytes that start at @p offset; @p bytes must contain all of them. */
ContentName nameAt(std::string_view bytes, std::size_t offset);

} // namespace Samphirepitch
