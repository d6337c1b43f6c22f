#ifndef CURRANTWALK_CLI_PUBLISHING_H
#define CURRANTWALK_CLI_PUBLISHING_H

#include "cli/commands.h"

namespace currantwalk {

// The commands that read sets of objects from files.
int runCheck(const CommandContext &context);
int runPublish(const CommandContext &context);
int runDiff(const CommandContext &context);

} // namespace currantwalk

#endif // CURRANTWALK_CLI_PUBLISHING_H
