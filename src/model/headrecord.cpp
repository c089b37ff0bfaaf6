#include "model/headrecord.h"

#include "model/internal/partreader.h"
#include "model/internal/partwriter.h"
#include "model/limits.h"

#include <limits>
#include <utility>

namespace Samphirepitch
{

namespace
{
constexpr std::size_t recordFieldCount = 6;
constexpr std::uint64_t maxNumber = std::numeric_limits<std::uint64_t>::max();
// Milliseconds since the epoch, in the year 2286; the bound keeps the conversion to signed milliseconds exact.
constexpr std::uint64_t maxWallTime = 9'999'999'999'999;
} // namespace

HeadRecord::HeadRecord(Fields fields)
    : m_fields(std::move(fields))
{
}

Result<HeadRecord> HeadRecord::decode(std::string_view bytes)
{
    PartReader reader(bytes, "head record");
    Fields fields;
    reader.tuple(recordFieldCount);
    fields.generation = reader.number(maxNumber);
    const std::string_view indexes = reader.binary(indexCount * ContentName::size);
    for (std::size_t index = 0; !indexes.empty() && index < indexCount; ++index) {
        fields.indexes[index] = nameAt(indexes, index * ContentName::size);
    }
    fields.previous = reader.name();
    fields.changeId = reader.text(Limits::changeIdSize);
    fields.author = reader.text(Limits::authorSize);
    fields.acceptedAt = WallTime(std::chrono::milliseconds(reader.number(maxWallTime)));
    if (fields.generation == 0 || fields.changeId.empty()) {
        reader.fail(ErrorKind::Malformed, "the generation is 0 or the change id is empty");
    }
    if (const auto status = reader.finish(); !status) {
        return tl::unexpected(status.error());
    }
    return HeadRecord(std::move(fields));
}

std::string HeadRecord::encode() const
{
    PartWriter writer;
    writer.array(recordFieldCount);
    writer.number(m_fields.generation);
    writer.names(m_fields.indexes);
    writer.name(m_fields.previous);
    writer.text(m_fields.changeId);
    writer.text(m_fields.author);
    writer.number(static_cast<std::uint64_t>(m_fields.acceptedAt.time_since_epoch().count()));
    return writer.take();
}

std::uint64_t HeadRecord::generation() const
{
    return m_fields.generation;
}

const std::array<ContentName, HeadRecord::indexCount> &HeadRecord::indexes() const
{
    return m_fields.indexes;
}

ContentName HeadRecord::previous() const
{
    return m_fields.previous;
}

const std::string &HeadRecord::changeId() const
{
    return m_fields.changeId;
}

const std::string &HeadRecord::author() const
{
    return m_fields.author;
}

WallTime HeadRecord::acceptedAt() const
{
    return m_fields.acceptedAt;
}

Result<HeadPointer> HeadPointer::decode(std::string_view bytes)
{
    PartReader reader(bytes, "head");
    HeadPointer pointer;
    reader.tuple(2);
    pointer.generation = reader.number(maxNumber);
    pointer.record = reader.name();
    if (pointer.generation == 0 || pointer.record.isUnset()) {
        reader.fail(ErrorKind::Malformed, "the generation is 0 or the name of the record is unset");
    }
    if (const auto status = reader.finish(); !status) {
        return tl::unexpected(status.error());
    }
    return pointer;
}

std::string HeadPointer::encode() const
{
    PartWriter writer;
    writer.array(2);
    writer.number(generation);
    writer.name(record);
    return writer.take();
}

} // namespace Samphirepitch
