#ifndef CURRANTWALK_CLI_LOGCOMMANDS_H
#define CURRANTWALK_CLI_LOGCOMMANDS_H

#include "cli/commands.h"

namespace currantwalk {

/// Tells the story of the request that the first operand names, by the logs that the others name.
int explainFromLogs(const CommandContext &context);
/// Checks logs against their schema.
int runLogs(const CommandContext &context);

} // namespace currantwalk

#endif // CURRANTWALK_CLI_LOGCOMMANDS_H
