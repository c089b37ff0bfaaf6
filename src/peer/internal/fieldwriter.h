#pragma once

#include "core/endpoint.h"
#include "core/hash.h"
#include "peer/internal/messagefields.h"

#include <msgpack.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Samphirepitch
{

/** Visitor that counts the fields of a value, for the header of its msgpack array. */
class FieldCounter
{
public:
    template<typename... Arguments>
    void number(const Arguments &...)
    {
        ++m_count;
    }

    template<typename... Arguments>
    void text(const Arguments &...)
    {
        ++m_count;
    }

    template<typename... Arguments>
    void bytes(const Arguments &...)
    {
        ++m_count;
    }

    template<typename... Arguments>
    void boolean(const Arguments &...)
    {
        ++m_count;
    }

    template<typename... Arguments>
    void enumeration(const Arguments &...)
    {
        ++m_count;
    }

    template<typename... Arguments>
    void contentName(const Arguments &...)
    {
        ++m_count;
    }

    template<typename... Arguments>
    void endpoint(const Arguments &...)
    {
        ++m_count;
    }

    template<typename... Arguments>
    void nested(const Arguments &...)
    {
        ++m_count;
    }

    template<typename... Arguments>
    void list(const Arguments &...)
    {
        ++m_count;
    }

    template<typename Value>
    void trailing(const std::optional<Value> &value)
    {
        ++m_absent;
        m_count += value ? std::exchange(m_absent, 0) : 0;
    }

    std::uint32_t count() const
    {
        return m_count;
    }

private:
    std::uint32_t m_count = 0;
    std::uint32_t m_absent = 0; // trailing fields without a value after the last one with a value
};

/** Visitor that appends fields to a msgpack buffer. */
class FieldWriter
{
public:
    using Packer = msgpack::packer<msgpack::sbuffer>;

    explicit FieldWriter(Packer &packer)
        : m_packer(packer)
    {
    }

    void number(std::uint64_t value)
    {
        m_packer.pack_uint64(value);
    }

    void text(const std::string &value, std::size_t)
    {
        m_packer.pack(value);
    }

    void bytes(const std::string &value, std::size_t)
    {
        m_packer.pack_bin(static_cast<std::uint32_t>(value.size()));
        m_packer.pack_bin_body(value.data(), static_cast<std::uint32_t>(value.size()));
    }

    void boolean(bool value)
    {
        m_packer.pack(value);
    }

    template<typename Enum>
    void enumeration(Enum value, Enum)
    {
        m_packer.pack_uint64(static_cast<std::uint64_t>(value));
    }

    void contentName(const ContentName &value)
    {
        m_packer.pack_bin(ContentName::size);
        m_packer.pack_bin_body(reinterpret_cast<const char *>(value.bytes().data()), ContentName::size);
    }

    void endpoint(Endpoint value)
    {
        m_packer.pack_uint64(static_cast<std::uint64_t>(value.address()) << 16 | value.port());
    }

    template<typename Value>
    void nested(const Value &value)
    {
        FieldCounter counter;
        visitFields(counter, value);
        m_packer.pack_array(counter.count());
        const std::uint32_t outer = std::exchange(m_absent, 0);
        visitFields(*this, value);
        m_absent = outer;
    }

    /**
     * Writes a field that earlier builds don't read. All of these fields come last. Those without a value are left out, or are nil if one
     * with a value follows, so that earlier builds can read messages in which none has a value.
     */
    template<typename Value>
    void trailing(const std::optional<Value> &value)
    {
        if (!value) {
            ++m_absent;
            return;
        }
        for (; m_absent > 0; --m_absent) {
            m_packer.pack_nil();
        }
        nested(*value);
    }

    template<typename Value, typename Each>
    void list(const std::vector<Value> &values, std::size_t, Each each)
    {
        m_packer.pack_array(static_cast<std::uint32_t>(values.size()));
        for (const Value &value : values) {
            each(*this, value);
        }
    }

private:
    Packer &m_packer;
    std::uint32_t m_absent = 0; // trailing fields without a value that are not written yet
};

} // namespace Samphirepitch
