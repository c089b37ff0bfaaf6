#pragma once

#include "core/error.h"
#include "core/hash.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace Samphirepitch
{

/**
 * Reads the msgpack values of a part in order. The first fault is kept and later reads return empty values, so that
 * callers check once at the end; no memory is taken for a length or count above its limit.
 */
class PartReader
{
public:
    /** @p subject names the part in errors. */
    PartReader(std::string_view bytes, std::string subject);

    /** Reads the header of an array of at most @p limit values. @return the count; 0 after a fault */
    std::uint32_t array(std::size_t limit);

    /** Reads the header of an array of exactly @p count values. */
    void tuple(std::size_t count);

    /** Reads a number of 0..@p limit. */
    std::uint64_t number(std::uint64_t limit);

    /** Reads a string of at most @p limit bytes. */
    std::string text(std::size_t limit);

    /** Reads a binary of exactly @p size bytes; the view is empty after a fault. */
    std::string_view binary(std::size_t size);

    /** Reads the name of a part. */
    ContentName name();

    bool failed() const;

    /** Notes a fault that the caller found. */
    void fail(ErrorKind kind, std::string detail);

    /** Returns the first fault; reports unread bytes as one. */
    Result<void> finish();

private:
    std::string_view readSized(int type, std::size_t limit, const char *expected);

    std::string_view m_bytes;
    std::string m_subject;
    Result<void> m_status;
};

/** Returns the name held in 16 bytes of @p bytes at @p offset. */
ContentName nameAt(std::string_view bytes, std::size_t offset);

} // namespace Samphirepitch
