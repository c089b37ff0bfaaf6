#include "daemon/linewriter.h"

#include <catch2/catch.hpp>

#include <array>
#include <string>
#include <unistd.h>

using namespace Samphirepitch;

namespace
{

class PipeFixture
{
public:
    PipeFixture()
    {
        REQUIRE(pipe(m_ends.data()) == 0);
    }

    ~PipeFixture()
    {
        close(m_ends[0]);
        close(m_ends[1]);
    }

    int writeEnd() const
    {
        return m_ends[1];
    }

    std::string readSome()
    {
        std::string text(1 << 17, '\0');
        text.resize(static_cast<std::size_t>(read(m_ends[0], text.data(), text.size())));
        return text;
    }

private:
    std::array<int, 2> m_ends {};
};

} // namespace

TEST_CASE_METHOD(PipeFixture, "a writer never blocks when the reader stops", "[daemon][linewriter]")
{
    // Guards against packet loss when the log pipe is full: log lines are written by the thread that forwards packets.
    LineWriter writer(writeEnd());
    const std::string line(1000, 'x');
    std::uint64_t refused = 0;
    for (int count = 0; count < 1000; ++count) {
        refused += writer.write(line) ? 0 : 1;
    }
    CHECK(refused > 900);
    CHECK(writer.lost() == refused);
    readSome();
    CHECK(writer.write("event=after"));
    const std::string rest = readSome();
    CHECK(rest == "event=log_lines_lost level=warning count=" + std::to_string(refused) + "\nevent=after\n");
}

TEST_CASE_METHOD(PipeFixture, "a line longer than a pipe accepts at once is truncated", "[daemon][linewriter]")
{
    LineWriter writer(writeEnd());
    CHECK(writer.write(std::string(10000, 'x')));
    const std::string text = readSome();
    CHECK(text.size() == LineWriter::maxLine);
    CHECK(text.back() == '\n');
}
