#pragma once

#include "core/endpoint.h"
#include "core/error.h"
#include "core/hash.h"
#include "peer/internal/messagefields.h"

#include <msgpack.hpp>

#include <algorithm>
#include <array>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <vector>

namespace Samphirepitch
{

/** Visitor that reads fields from a msgpack array in order. The first fault is kept, and no further field is read after it. */
class FieldReader
{
public:
    FieldReader(const msgpack::object_array &array, std::optional<ErrorKind> &fault)
        : m_array(array)
        , m_fault(fault)
    {
    }

    template<typename Number>
    void number(Number &out)
    {
        const msgpack::object *field = next(msgpack::type::POSITIVE_INTEGER);
        if (field && field->via.u64 <= std::numeric_limits<Number>::max()) {
            out = static_cast<Number>(field->via.u64);
        } else {
            fail(ErrorKind::Malformed);
        }
    }

    void text(std::string &out, std::size_t limit)
    {
        if (const msgpack::object *field = next(msgpack::type::STR)) {
            copy(field->via.str.ptr, field->via.str.size, limit, out);
        }
    }

    void bytes(std::string &out, std::size_t limit)
    {
        if (const msgpack::object *field = next(msgpack::type::BIN)) {
            copy(field->via.bin.ptr, field->via.bin.size, limit, out);
        }
    }

    void boolean(bool &out)
    {
        if (const msgpack::object *field = next(msgpack::type::BOOLEAN)) {
            out = field->via.boolean;
        }
    }

    template<typename Enum>
    void enumeration(Enum &out, Enum last)
    {
        std::uint64_t value = 0;
        number(value);
        if (value <= static_cast<std::uint64_t>(last)) {
            out = static_cast<Enum>(value);
        } else {
            fail(ErrorKind::Malformed);
        }
    }

    void contentName(ContentName &out)
    {
        const msgpack::object *field = next(msgpack::type::BIN);
        if (!field || field->via.bin.size != ContentName::size) {
            fail(ErrorKind::Malformed);
            return;
        }
        std::array<std::uint8_t, ContentName::size> bytes {};
        std::copy_n(reinterpret_cast<const std::uint8_t *>(field->via.bin.ptr), ContentName::size, bytes.begin());
        out = ContentName(bytes);
    }

    void endpoint(Endpoint &out)
    {
        std::uint64_t value = 0;
        number(value);
        if (value >> 48 != 0) {
            fail(ErrorKind::Malformed);
            return;
        }
        out = Endpoint(static_cast<std::uint32_t>(value >> 16), static_cast<std::uint16_t>(value & 0xffff));
    }

    template<typename Value>
    void nested(Value &out)
    {
        if (const msgpack::object *field = next(msgpack::type::ARRAY)) {
            FieldReader reader(field->via.array, m_fault);
            visitFields(reader, out);
            reader.finish();
        }
    }

    /** Reads a field that earlier builds don't send: it may be missing at the end of the array, or nil. */
    template<typename Value>
    void trailing(std::optional<Value> &out)
    {
        if (m_fault || m_position >= m_array.size) {
            return;
        }
        if (m_array.ptr[m_position].type == msgpack::type::NIL) {
            ++m_position;
            return;
        }
        nested(out.emplace());
    }

    template<typename Value, typename Each>
    void list(std::vector<Value> &out, std::size_t limit, Each each)
    {
        const msgpack::object *field = next(msgpack::type::ARRAY);
        if (!field) {
            return;
        }
        if (field->via.array.size > limit) {
            fail(ErrorKind::TooLarge);
            return;
        }
        FieldReader reader(field->via.array, m_fault);
        out.reserve(field->via.array.size);
        for (std::uint32_t index = 0; index < field->via.array.size && !m_fault; ++index) {
            each(reader, out.emplace_back());
        }
    }

    /** Reports a fault if there are unread fields. */
    void finish()
    {
        if (m_position != m_array.size) {
            fail(ErrorKind::Malformed);
        }
    }

private:
    const msgpack::object *next(msgpack::type::object_type type)
    {
        if (m_fault || m_position >= m_array.size || m_array.ptr[m_position].type != type) {
            fail(ErrorKind::Malformed);
            return nullptr;
        }
        return &m_array.ptr[m_position++];
    }

    void copy(const char *bytes, std::size_t size, std::size_t limit, std::string &out)
    {
        if (size > limit) {
            fail(ErrorKind::TooLarge);
        } else {
            out.assign(bytes, size);
        }
    }

    void fail(ErrorKind kind)
    {
        if (!m_fault) {
            m_fault = kind;
        }
    }

    const msgpack::object_array &m_array;
    std::optional<ErrorKind> &m_fault;
    std::uint32_t m_position = 0;
};

} // namespace Samphirepitch
