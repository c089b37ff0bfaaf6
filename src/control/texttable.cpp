#include "control/texttable.h"

#include <algorithm>
#include <utility>

namespace Samphirepitch
{

TextTable::TextTable(std::vector<std::string> header)
{
    m_rows.push_back(std::move(header));
}

void TextTable::add(std::vector<std::string> row)
{
    row.resize(m_rows.front().size());
    m_rows.push_back(std::move(row));
}

void TextTable::write(std::ostream &stream) const
{
    std::vector<std::size_t> widths(m_rows.front().size());
    for (const auto &row : m_rows) {
        for (std::size_t column = 0; column < row.size(); ++column) {
            widths[column] = std::max(widths[column], row[column].size());
        }
    }
    for (const auto &row : m_rows) {
        for (std::size_t column = 0; column < row.size(); ++column) {
            stream << row[column];
            if (column + 1 < row.size()) {
                stream << std::string(widths[column] - row[column].size() + 2, ' ');
            }
        }
        stream << '\n';
    }
}

} // namespace Samphirepitch
