#ifndef CURRANTWALK_OBSERVE_BURNREPORT_H
#define CURRANTWALK_OBSERVE_BURNREPORT_H

#include <string>
#include <vector>

#include "observe/burn.h"

namespace currantwalk {

/// Returns the cells of the report as rows of text, the heading first.
std::vector<std::vector<std::string>> burnTable(const std::vector<BurnRow> &rows);
/// Returns the rows in aligned columns, with the alert thresholds below.
std::string renderBurnText(const std::vector<BurnRow> &rows);
/// Returns a self-contained HTML page: table, thresholds, and plots of burn by window and of
/// times by service.
std::string renderBurnHtml(const std::vector<BurnRow> &rows, const BurnSnapshot &snapshot);

} // namespace currantwalk

#endif // CURRANTWALK_OBSERVE_BURNREPORT_H
