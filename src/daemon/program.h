#ifndef CURRANTWALK_DAEMON_PROGRAM_H
#define CURRANTWALK_DAEMON_PROGRAM_H

namespace currantwalk {

/// Runs the program currantwalkd; returns its exit code, from sysexits.
int runDaemon(int argc, const char **argv);

} // namespace currantwalk

#endif // CURRANTWALK_DAEMON_PROGRAM_H
