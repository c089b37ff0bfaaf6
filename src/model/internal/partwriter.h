#pragma once

#include "core/hash.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace Samphirepitch
{

/** Writes MessagePack values in their shortest form. Equal values give equal bytes. */
class PartWriter
{
public:
    void array(std::size_t count);
    void number(std::uint64_t value);
    void text(std::string_view value);
    void binary(std::string_view value);

    /** Writes the name of a part as a binary value of 16 bytes. */
    void name(const ContentName &value);

    /** Writes the names as one binary value with 16 bytes for each name. */
    void names(std::span<const ContentName> values);

    /** Appends @p bytes, which must be encoded values. */
    void raw(std::string_view bytes);

    /** Returns the encoded bytes and clears the writer. */
    std::string take();

private:
    std::string m_bytes;
};

} // namespace Samphirepitch
