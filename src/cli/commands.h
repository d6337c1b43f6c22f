#ifndef CURRANTWALK_CLI_COMMANDS_H
#define CURRANTWALK_CLI_COMMANDS_H

#include <functional>
#include <iosfwd>
#include <string>
#include <vector>

#include <json/value.h>

#include "base/error.h"
#include "cli/arguments.h"

namespace currantwalk {

/// What a command works with.
struct CommandContext
{
    const Arguments &arguments;
    std::ostream &out;
    std::ostream &err;
    /// Calls a method of a daemon and waits for the answer.
    std::function<absl::StatusOr<Json::Value>(const std::string &method, const Json::Value &params)>
            call;
};

/// One command of the program.
struct Command
{
    const char *name;
    const char *operands;
    const char *summary;
    const char *help; ///< Further lines, also on the command's own options.
    std::size_t leastOperands;
    std::size_t mostOperands;
    /// Does the work and returns the exit code.
    int (*run)(const CommandContext &context);
};

/// Returns all commands in the order of the help.
const std::vector<Command> &allCommands();

/// Runs the command that the arguments name, or prints help; returns the exit code.
int runCommand(const CommandContext &context);

/// Prints a failure as the arguments ask for, and returns its exit code.
int printFailure(const CommandContext &context, const absl::Status &status);
/// Prints JSON where asked for, and \a text otherwise.
void printAnswer(const CommandContext &context, const Json::Value &answer, const std::string &text);

} // namespace currantwalk

#endif // CURRANTWALK_CLI_COMMANDS_H
