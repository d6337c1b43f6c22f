#ifndef CURRANTWALK_CLI_EXITCODE_H
#define CURRANTWALK_CLI_EXITCODE_H

#include "base/error.h"

namespace currantwalk {

/// Returns the exit code, one of those in sysexits.h, that tells a failure to scripts.
int exitCode(ErrorCode code);

} // namespace currantwalk

#endif // CURRANTWALK_CLI_EXITCODE_H
