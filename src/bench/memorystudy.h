#ifndef CURRANTWALK_BENCH_MEMORYSTUDY_H
#define CURRANTWALK_BENCH_MEMORYSTUDY_H

#include <string>

namespace currantwalk {

/// Measures what memory of one's own routing is worth: mean times to the whole answer of each
/// policy, relative to uniform random routing, at several variations of service time and ages of
/// reports.
/// \a policies names them by comma, or is "all".
int runMemoryStudy(int firstSeed, int seeds, bool isJson, const std::string &policies);

} // namespace currantwalk

#endif // CURRANTWALK_BENCH_MEMORYSTUDY_H
