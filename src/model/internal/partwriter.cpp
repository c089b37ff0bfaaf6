#include "model/internal/partwriter.h"

#include <msgpack.hpp>

#include <utility>

namespace Samphirepitch
{

namespace
{

/** Adapter that lets msgpack::packer append to a string. */
class StringStream
{
public:
    explicit StringStream(std::string &bytes)
        : m_bytes(bytes)
    {
    }

    void write(const char *data, std::size_t size)
    {
        m_bytes.append(data, size);
    }

private:
    std::string &m_bytes;
};

msgpack::packer<StringStream> packerFor(StringStream &stream)
{
    return msgpack::packer<StringStream>(stream);
}

std::string_view bytesOf(const ContentName &name)
{
    return { reinterpret_cast<const char *>(name.bytes().data()), ContentName::size };
}

} // namespace

void PartWriter::array(std::size_t count)
{
    StringStream stream(m_bytes);
    packerFor(stream).pack_array(static_cast<std::uint32_t>(count));
}

void PartWriter::number(std::uint64_t value)
{
    StringStream stream(m_bytes);
    packerFor(stream).pack_uint64(value);
}

void PartWriter::text(std::string_view value)
{
    StringStream stream(m_bytes);
    packerFor(stream).pack_str(static_cast<std::uint32_t>(value.size()));
    m_bytes.append(value);
}

void PartWriter::binary(std::string_view value)
{
    StringStream stream(m_bytes);
    packerFor(stream).pack_bin(static_cast<std::uint32_t>(value.size()));
    m_bytes.append(value);
}

void PartWriter::name(const ContentName &value)
{
    binary(bytesOf(value));
}

void PartWriter::names(std::span<const ContentName> values)
{
    std::string joined;
    joined.reserve(values.size() * ContentName::size);
    for (const ContentName &value : values) {
        joined.append(bytesOf(value));
    }
    binary(joined);
}

void PartWriter::raw(std::string_view bytes)
{
    m_bytes.append(bytes);
}

std::string PartWriter::take()
{
    return std::exchange(m_bytes, {});
}

} // namespace Samphirepitch
