#ifndef CURRANTWALK_CLI_PROGRAM_H
#define CURRANTWALK_CLI_PROGRAM_H

namespace currantwalk {

/// Runs the operators' command line and returns its exit code; see docs/operators/commandline.md.
int runCommandLine(int argc, const char **argv);

} // namespace currantwalk

#endif // CURRANTWALK_CLI_PROGRAM_H
