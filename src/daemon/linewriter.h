#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace Samphirepitch
{

/** Writes lines to a descriptor without ever waiting for its reader: a line that does not fit now is lost and counted. */
class LineWriter
{
public:
    /** Longest line in bytes, with its end. A ready pipe takes this much at once (PIPE_BUF of Linux). */
    static constexpr std::size_t maxLine = 4096;

    /** @param descriptor stays open; not closed by this object */
    explicit LineWriter(int descriptor);

    /** Writes a line without a line end. @return whether it was written */
    bool write(std::string_view line);

    std::uint64_t lost() const;

private:
    bool writeNow(std::string_view line);

    int m_descriptor;
    std::uint64_t m_lost = 0;
    std::uint64_t m_reportedLost = 0;
    std::string m_buffer;
};

} // namespace Samphirepitch
