#include "cli/publishing.h"

#include <cstdlib>
#include <optional>
#include <ostream>

#include <sysexits.h>

#include "base/json.h"
#include "base/randomsource.h"
#include "cli/exitcode.h"
#include "cli/rendering.h"
#include "config/objectcodec.h"
#include "config/objectdiff.h"
#include "config/objectfiles.h"

namespace currantwalk {

static Json::Value encodeFaults(const std::vector<ConfigFault> &faults)
{
    Json::Value answer(Json::objectValue);
    answer["sound"] = faults.empty();
    answer["faults"] = Json::Value(Json::arrayValue);
    for (const ConfigFault &fault : faults)
        answer["faults"].append(encodeFault(fault));
    return answer;
}

static int faultsExitCode(const std::vector<ConfigFault> &faults)
{
    for (const ConfigFault &fault : faults) {
        if (fault.kind == ConfigFaultKind::File)
            return EX_NOINPUT;
    }
    return EX_DATAERR;
}

// Faults go to the error stream as a compiler's do; in JSON they are the answer.
static int printFaults(const CommandContext &context, const std::vector<ConfigFault> &faults)
{
    if (context.arguments.isJson) {
        context.out << writeJson(encodeFaults(faults)) << '\n';
    } else {
        for (const ConfigFault &fault : faults)
            context.err << formatFault(fault) << '\n';
        context.err << faults.size() << (faults.size() == 1 ? " fault\n" : " faults\n");
    }
    return faultsExitCode(faults);
}

int runCheck(const CommandContext &context)
{
    const LoadedObjects loaded = loadObjectPaths(context.arguments.operands);
    if (!loaded.faults.empty())
        return printFaults(context, loaded.faults);
    printAnswer(context, encodeFaults({}), "sound\n");
    return EX_OK;
}

static std::string makePublicationId()
{
    RandomSource random(entropySeed());
    char text[33];
    std::snprintf(text, sizeof text, "%016llx%016llx",
                  static_cast<unsigned long long>(random.next64()),
                  static_cast<unsigned long long>(random.next64()));
    return text;
}

static std::string authorOf(const Arguments &arguments)
{
    if (!arguments.author.empty())
        return arguments.author;
    const char *user = std::getenv("USER");
    return user && *user ? user : "operator";
}

static absl::StatusOr<std::uint64_t> baseOf(const CommandContext &context)
{
    if (context.arguments.base)
        return *context.arguments.base;
    const absl::StatusOr<Json::Value> status =
            context.call("status", Json::Value(Json::objectValue));
    if (!status.ok())
        return status.status();
    return unsignedMember(*status, "config_version");
}

static std::string renderPublication(const Json::Value &answer, bool isAccepted)
{
    if (isAccepted)
        return "accepted: version " + cellText(answer, "version") + " is in force\n";
    std::string text = "refused: " + cellText(answer, "reason") + "\n";
    if (cellText(answer, "winner") == "-")
        return text;
    text += "version " + cellText(answer, "version") + " by " + cellText(answer, "winner")
            + " is in force; published upon it, this set would make these changes:\n";
    return text + renderChanges(answer["changes"]);
}

int runPublish(const CommandContext &context)
{
    const LoadedObjects loaded = loadObjectPaths(context.arguments.operands);
    if (!loaded.faults.empty())
        return printFaults(context, loaded.faults);
    const absl::StatusOr<std::uint64_t> base = baseOf(context);
    if (!base.ok())
        return printFailure(context, base.status());
    const std::string &givenId = context.arguments.publicationId;
    Json::Value params(Json::objectValue);
    params["base"] = Json::UInt64(*base);
    params["author"] = authorOf(context.arguments);
    params["publication_id"] = givenId.empty() ? makePublicationId() : givenId;
    params["objects"] = encodeObjects(loaded.objects);
    if (context.arguments.isRecovery)
        params["recovery"] = true;
    // Told beforehand: an operator who gets no answer asks again with it.
    context.err << "publication " << params["publication_id"].asString() << " upon version "
                << *base << '\n';
    const absl::StatusOr<Json::Value> answer = context.call("publish", params);
    if (!answer.ok())
        return printFailure(context, answer.status());
    const absl::StatusOr<bool> isAccepted = boolMember(*answer, "accepted");
    if (!isAccepted.ok())
        return printFailure(context, isAccepted.status());
    printAnswer(context, *answer, renderPublication(*answer, *isAccepted));
    return *isAccepted ? EX_OK : exitCode(ErrorCode::VersionConflict);
}

// The set in force, or that of the first operand where two are given.
static absl::StatusOr<Json::Value> objectsBefore(const CommandContext &context)
{
    const absl::StatusOr<Json::Value> answer =
            context.call("config", Json::Value(Json::objectValue));
    if (!answer.ok())
        return answer.status();
    if (!answer->isObject() || !(*answer)["objects"].isObject())
        return makeError(ErrorCode::JsonInvalid, "the node's answer holds no objects");
    return (*answer)["objects"];
}

int runDiff(const CommandContext &context)
{
    const std::vector<std::string> &operands = context.arguments.operands;
    const LoadedObjects after = loadObjectPaths({operands.back()});
    if (!after.faults.empty())
        return printFaults(context, after.faults);
    Json::Value before;
    if (operands.size() == 2) {
        const LoadedObjects loaded = loadObjectPaths({operands.front()});
        if (!loaded.faults.empty())
            return printFaults(context, loaded.faults);
        before = encodeObjects(loaded.objects);
    } else {
        const absl::StatusOr<Json::Value> inForce = objectsBefore(context);
        if (!inForce.ok())
            return printFailure(context, inForce.status());
        before = *inForce;
    }
    Json::Value answer(Json::objectValue);
    answer["changes"] = encodeChanges(diffEncodedObjects(before, encodeObjects(after.objects)));
    printAnswer(context, answer, renderChanges(answer["changes"]));
    return EX_OK;
}

} // namespace currantwalk
