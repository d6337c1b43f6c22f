#include "cli/texttable.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace currantwalk {

TextTable::TextTable(std::vector<std::string> headings)
{
    m_rows.push_back(std::move(headings));
}

void TextTable::addRow(std::vector<std::string> cells)
{
    assert(cells.size() == m_rows.front().size() && "a row has a cell for each heading");
    m_rows.push_back(std::move(cells));
}

// Counts characters, not bytes: all but the continuation bytes of UTF-8.
static std::size_t width(const std::string &text)
{
    const auto isLead = [](char c) { return (static_cast<unsigned char>(c) & 0xC0) != 0x80; };
    return static_cast<std::size_t>(std::count_if(text.begin(), text.end(), isLead));
}

std::string TextTable::toString() const
{
    std::vector<std::size_t> widths(m_rows.front().size(), 0);
    for (const std::vector<std::string> &row : m_rows) {
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], width(row[i]));
    }
    std::string text;
    for (const std::vector<std::string> &row : m_rows) {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i)
            line += row[i] + std::string(widths[i] - width(row[i]) + 2, ' ');
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + "\n";
    }
    return text;
}

} // namespace currantwalk
