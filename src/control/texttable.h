#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace Samphirepitch
{

/** A table of text that is written with aligned columns. */
class TextTable
{
public:
    explicit TextTable(std::vector<std::string> header);

    /** Adds a row; it is cut or padded with empty cells to the length of the header. */
    void add(std::vector<std::string> row);

    void write(std::ostream &stream) const;

private:
    std::vector<std::vector<std::string>> m_rows;
};

} // namespace Samphirepitch
