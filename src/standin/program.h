#ifndef CURRANTWALK_STANDIN_PROGRAM_H
#define CURRANTWALK_STANDIN_PROGRAM_H

namespace currantwalk::standin {

/// Runs the program currantwalk-standin; returns its exit code, from sysexits.
int runProgram(int argc, const char **argv);

} // namespace currantwalk::standin

#endif // CURRANTWALK_STANDIN_PROGRAM_H
