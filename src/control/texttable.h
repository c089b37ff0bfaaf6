#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace Samphirepitch
{

/** Writes rows with aligned columns. */
class TextTable
{
public:
    explicit TextTable(std::vector<std::string> header);

    /** Adds a row with as many cells as the header. */
    void add(std::vector<std::string> row);

    void write(std::ostream &stream) const;

private:
    std::vector<std::vector<std::string>> m_rows;
};

} // namespace Samphirepitch
