#ifndef CURRANTWALK_CLI_COMPLETION_H
#define CURRANTWALK_CLI_COMPLETION_H

#include <string>

namespace currantwalk {

/// Returns a script that completes commands, options and files in bash.
std::string bashCompletion();

} // namespace currantwalk

#endif // CURRANTWALK_CLI_COMPLETION_H
