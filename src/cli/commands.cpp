#include "cli/commands.h"

#include <fstream>
#include <ostream>

#include <sysexits.h>

#include "base/json.h"
#include "cli/completion.h"
#include "cli/exitcode.h"
#include "cli/logcommands.h"
#include "cli/publishing.h"
#include "cli/rendering.h"
#include "cli/texttable.h"

namespace currantwalk {

using Renderer = std::string (*)(const Json::Value &);

void printAnswer(const CommandContext &context, const Json::Value &answer, const std::string &text)
{
    if (context.arguments.isJson)
        context.out << writeJson(answer) << '\n';
    else
        context.out << text;
}

int printFailure(const CommandContext &context, const absl::Status &status)
{
    const ErrorCode code = errorCode(status);
    if (context.arguments.isJson) {
        Json::Value answer(Json::objectValue);
        answer["error"] = std::string(errorName(code));
        answer["detail"] = std::string(status.message());
        context.out << writeJson(answer) << '\n';
    } else {
        context.err << "currantwalk: " << errorName(code) << ": " << status.message() << '\n';
    }
    return exitCode(code);
}

static int ask(const CommandContext &context, const char *method, const Json::Value &params,
               Renderer render)
{
    const absl::StatusOr<Json::Value> answer = context.call(method, params);
    if (!answer.ok())
        return printFailure(context, answer.status());
    printAnswer(context, *answer, render(*answer));
    return EX_OK;
}

static int usageFailure(const CommandContext &context, const std::string &detail)
{
    return printFailure(context, makeError(ErrorCode::InvalidRequest, detail));
}

static Json::Value noParams()
{
    return Json::Value(Json::objectValue);
}

static int runStatus(const CommandContext &context)
{
    return ask(context, "status", noParams(), renderStatus);
}

static int runTargets(const CommandContext &context)
{
    return ask(context, "targets", noParams(), renderTargets);
}

static int runHistory(const CommandContext &context)
{
    return ask(context, "history", noParams(), renderHistory);
}

static absl::Status writePage(const std::string &path, const Json::Value &answer)
{
    const absl::StatusOr<std::string> page = stringMember(answer, "page");
    if (!page.ok())
        return page.status();
    std::ofstream file(path);
    file << *page;
    file.close();
    return file ? absl::OkStatus() : makeError(ErrorCode::SystemCallFailed, "cannot write " + path);
}

static int runReport(const CommandContext &context)
{
    const std::vector<std::string> &operands = context.arguments.operands;
    if (operands[0] != "burn")
        return usageFailure(context, "report: the one report is burn");
    Json::Value params = noParams();
    if (!context.arguments.grouping.empty())
        params["by"] = context.arguments.grouping;
    params["page"] = !context.arguments.page.empty();
    const absl::StatusOr<Json::Value> answer = context.call("burn", params);
    if (!answer.ok())
        return printFailure(context, answer.status());
    if (!context.arguments.page.empty()) {
        const absl::Status written = writePage(context.arguments.page, *answer);
        if (!written.ok())
            return printFailure(context, written);
    }
    Json::Value rows = *answer;
    if (rows.isObject())
        rows.removeMember("page");
    printAnswer(context, rows, renderBurn(rows));
    return EX_OK;
}

static int runExplain(const CommandContext &context)
{
    if (context.arguments.operands.size() > 1)
        return explainFromLogs(context);
    Json::Value params = noParams();
    params["request"] = context.arguments.operands[0];
    return ask(context, "explain", params, renderExplanation);
}

static int runOutcome(const CommandContext &context)
{
    const std::vector<std::string> &operands = context.arguments.operands;
    Json::Value params = noParams();
    params["organisation"] = operands[0];
    params["service"] = operands[1];
    params["key"] = operands[2];
    return ask(context, "outcome", params, renderOutcome);
}

// Only the named node is drained, so a second one must not be tried in its place.
static int runDrain(const CommandContext &context)
{
    if (context.arguments.nodes.size() > 1)
        return usageFailure(context, "drain: name one --node, the one to drain");
    Json::Value params = noParams();
    if (context.arguments.deadline) {
        const auto deadline =
                std::chrono::duration_cast<std::chrono::milliseconds>(*context.arguments.deadline);
        params["deadline_ms"] = Json::Int64(deadline.count());
    }
    return ask(context, "drain", params, [](const Json::Value &answer) {
        return "phase    " + cellText(answer, "phase") + "\n";
    });
}

static int runPoison(const CommandContext &context)
{
    const std::vector<std::string> &operands = context.arguments.operands;
    if (operands[0] == "list" && operands.size() == 1)
        return ask(context, "poison", noParams(), renderPoison);
    if (operands[0] != "clear" || operands.size() != 2)
        return usageFailure(context, "poison: expected list, or clear and a fingerprint");
    Json::Value params = noParams();
    params["fingerprint"] = operands[1];
    return ask(context, "poison_clear", params,
               [](const Json::Value &) { return std::string("cleared\n"); });
}

static int runCompletion(const CommandContext &context)
{
    if (context.arguments.operands[0] != "bash")
        return usageFailure(context, "completion: only bash is known");
    context.out << bashCompletion();
    return EX_OK;
}

static const Command *findCommand(const std::string &name)
{
    for (const Command &command : allCommands()) {
        if (command.name == name)
            return &command;
    }
    return nullptr;
}

static std::string generalHelp()
{
    std::string text = "usage: currantwalk [OPTION...] COMMAND [OPERAND...]\n\ncommands:\n";
    TextTable table({"", "", ""});
    for (const Command &command : allCommands())
        table.addRow({std::string("  ") + command.name, command.operands, command.summary});
    const std::string rows = table.toString();
    return text + rows.substr(rows.find('\n') + 1) + "\n" + optionsHelp()
           + "\nexit codes: 0 done, 64 wrong usage, 65 faulty objects, 66 not found,\n"
             "69 no node reached, 70 a fault of the program, 73 refused for a newer version,\n"
             "74 outcome unknown, 75 try again, 76 answer not understood, 77 refused, 78 bad TLS "
             "files\n";
}

static std::string commandHelp(const Command &command)
{
    return std::string("usage: currantwalk [OPTION...] ") + command.name + " " + command.operands
           + "\n\n" + command.summary + "\n" + command.help + "\n" + optionsHelp();
}

static int runHelp(const CommandContext &context)
{
    if (context.arguments.operands.empty()) {
        context.out << generalHelp();
        return EX_OK;
    }
    const Command *command = findCommand(context.arguments.operands[0]);
    if (!command)
        return usageFailure(context, "unknown command " + context.arguments.operands[0]);
    context.out << commandHelp(*command);
    return EX_OK;
}

const std::vector<Command> &allCommands()
{
    constexpr std::size_t AnyNumber = 1000;
    static const std::vector<Command> Commands{
            {"check", "PATH...", "check a set of objects, without a daemon",
             "PATH is a TOML file or a directory of *.toml files; together they are one set.\n", 1,
             AnyNumber, runCheck},
            {"publish", "PATH...", "check a set and publish it",
             "  --base N             version that the set was made from; by default the one in "
             "force\n"
             "  --author NAME        by default the name of the user\n"
             "  --publication-id ID  ask again about an earlier publication\n"
             "  --recovery           accept on any base; only after the loss of the whole fleet\n",
             1, AnyNumber, runPublish},
            {"status", "", "show a node, its version, and the members that it knows", "", 0, 0,
             runStatus},
            {"targets", "", "show the targets with their load", "", 0, 0, runTargets},
            {"history", "", "show publications and the decisions on them", "", 0, 0, runHistory},
            {"diff", "[PATH] PATH", "show what a set would change",
             "Compares with the version in force, or with the first PATH where two are given.\n", 1,
             2, runDiff},
            {"drain", "", "stop a node without cutting off requests",
             "  --deadline DURATION  cut off what is still in progress after it; by default "
             "nothing "
             "is\n",
             0, 0, runDrain},
            {"explain", "REQUEST [LOG...]", "show why each attempt of a request went where it did",
             "REQUEST is the id that the answer's head and the logs name. Without a LOG the node "
             "is "
             "asked;\nwith any, the story is put together from these files, - for standard "
             "input.\n",
             1, AnyNumber, runExplain},
            {"logs", "check LOG...", "tell whether the lines of logs keep their schema",
             "LOG is a file, or - for standard input. Ends with 65 where a line does not.\n", 2,
             AnyNumber, runLogs},
            {"report", "burn", "show service-level burn over several windows",
             "  --by GROUP   rows by service (the default), organisation or zone\n"
             "  --page FILE  also write a self-contained HTML page with plots\n",
             1, 1, runReport},
            {"poison", "list | clear FINGERPRINT", "show or clear requests that killed targets", "",
             1, 2, runPoison},
            {"outcome", "ORGANISATION SERVICE KEY", "show what became of an idempotency key", "", 3,
             3, runOutcome},
            {"help", "[COMMAND]", "print help", "", 0, 1, runHelp},
            {"completion", "bash", "print a script for shell completion",
             "In bash: source <(currantwalk completion bash)\n", 1, 1, runCompletion},
    };
    return Commands;
}

int runCommand(const CommandContext &context)
{
    const Arguments &arguments = context.arguments;
    if (arguments.command.empty()) {
        (arguments.isHelp ? context.out : context.err) << generalHelp();
        return arguments.isHelp ? EX_OK : EX_USAGE;
    }
    const Command *command = findCommand(arguments.command);
    if (!command)
        return usageFailure(context, "unknown command " + arguments.command);
    if (arguments.isHelp) {
        context.out << commandHelp(*command);
        return EX_OK;
    }
    const std::size_t count = arguments.operands.size();
    if (count < command->leastOperands || count > command->mostOperands)
        return usageFailure(context,
                            std::string(command->name) + ": expected "
                                    + (*command->operands ? command->operands : "no operand"));
    return command->run(context);
}

} // namespace currantwalk
