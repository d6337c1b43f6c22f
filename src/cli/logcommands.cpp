#include "cli/logcommands.h"

#include <fstream>
#include <iostream>

#include <sysexits.h>

#include "observe/requestexplanation.h"

namespace currantwalk {

static constexpr const char *StandardInput = "-";

// Reads the logs that the operands from \a first on name.
static absl::StatusOr<LogSet> readLogs(const std::vector<std::string> &operands, std::size_t first)
{
    LogSet logs;
    for (std::size_t i = first; i < operands.size(); ++i) {
        const std::string &name = operands[i];
        if (name == StandardInput) {
            logs.read(std::cin, name);
            continue;
        }
        std::ifstream file(name);
        if (!file)
            return makeError(ErrorCode::NotFound, "cannot read " + name);
        logs.read(file, name);
    }
    return logs;
}

static Json::Value recordJson(const LoggedLine &record)
{
    Json::Value json(Json::objectValue);
    json["time"] = record.time;
    json["vm"] = record.source;
    json["level"] = std::string(logLevelName(record.level));
    json["part"] = std::string(logPartName(record.part));
    json["message"] = record.message;
    if (!record.request.empty())
        json["request"] = record.request;
    return json;
}

int explainFromLogs(const CommandContext &context)
{
    const absl::StatusOr<LogSet> logs = readLogs(context.arguments.operands, 1);
    if (!logs.ok())
        return printFailure(context, logs.status());
    const absl::StatusOr<RequestExplanation> story =
            explainRequest(*logs, context.arguments.operands[0]);
    if (!story.ok())
        return printFailure(context, story.status());
    Json::Value answer(Json::objectValue);
    answer["cause"] = story->cause;
    answer["lines"] = Json::Value(Json::arrayValue);
    std::string text;
    for (const LoggedLine &record : story->records) {
        answer["lines"].append(recordJson(record));
        text += record.time + "  " + record.source + "  "
                + (record.request.empty() ? "  (" + std::string(logPartName(record.part)) + ") "
                                          : "")
                + record.message + '\n';
    }
    printAnswer(context, answer, text + '\n' + story->cause + '\n');
    return EX_OK;
}

int runLogs(const CommandContext &context)
{
    const std::vector<std::string> &operands = context.arguments.operands;
    if (operands[0] != "check")
        return printFailure(context,
                            makeError(ErrorCode::InvalidRequest, "logs: the one use is check"));
    const absl::StatusOr<LogSet> logs = readLogs(operands, 1);
    if (!logs.ok())
        return printFailure(context, logs.status());
    Json::Value answer(Json::objectValue);
    answer["lines"] = Json::UInt64(logs->records.size());
    answer["faults"] = Json::Value(Json::arrayValue);
    std::string text;
    for (const LogSet::ParseError &fault : logs->parseErrors) {
        const std::string place = fault.fileName + ":" + std::to_string(fault.line);
        Json::Value row(Json::objectValue);
        row["place"] = place;
        row["fault"] = std::string(fault.status.message());
        answer["faults"].append(row);
        text += place + ": " + std::string(fault.status.message()) + '\n';
    }
    text += std::to_string(logs->records.size()) + " lines keep the schema, "
            + std::to_string(logs->parseErrors.size()) + " do not\n";
    printAnswer(context, answer, text);
    return logs->parseErrors.empty() ? EX_OK : EX_DATAERR;
}

} // namespace currantwalk
