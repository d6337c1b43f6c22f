#ifndef CURRANTWALK_CLI_TEXTTABLE_H
#define CURRANTWALK_CLI_TEXTTABLE_H

#include <string>
#include <vector>

namespace currantwalk {

/// Rows of text under headings, in columns as wide as their widest cell.
class TextTable
{
public:
    explicit TextTable(std::vector<std::string> headings);

    void addRow(std::vector<std::string> cells);
    std::string toString() const;

private:
    std::vector<std::vector<std::string>> m_rows; // The headings first.
};

} // namespace currantwalk

#endif // CURRANTWALK_CLI_TEXTTABLE_H
