#pragma once

#include "core/hash.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace Samphirepitch
{

/** Writes msgpack values in their shortest form, so that the same values always give the same bytes. */
class PartWriter
{
public:
    void array(std::size_t count);
    void number(std::uint64_t value);
    void text(std::string_view value);
    void binary(std::string_view value);

    /** Writes the name of a part as a binary of 16 bytes. */
    void name(const ContentName &value);

    /** Writes names as one binary of 16 bytes each. */
    void names(std::span<const ContentName> values);

    /** Appends values that are already encoded. */
    void raw(std::string_view bytes);

    /** Returns all bytes written and leaves the writer empty. */
    std::string take();

private:
    std::string m_bytes;
};

} // namespace Samphirepitch
