#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace Samphirepitch
{

/** Writes lines to a file descriptor without blocking. A line that cannot be written at once is lost and counted. */
class LineWriter
{
public:
    /** Maximum length of a line in bytes, including its line end. A writable pipe accepts this many at once (PIPE_BUF of Linux). */
    static constexpr std::size_t maxLine = 4096;

    /** @param descriptor must stay open while this object is used; not closed by it */
    explicit LineWriter(int descriptor);

    /**
     * Writes a line, cut to maxLine. Writes a line with the number of lost lines before it if there are unreported ones.
     * @param line line without its line end
     * @return whether the line was written
     */
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
