#include "cli/rendering.h"

#include <chrono>
#include <cstdio>
#include <vector>

#include "base/json.h"
#include "base/timerservice.h"
#include "cli/texttable.h"

namespace currantwalk {

// Members of answers are read without trust in their types: a daemon may be of another version.
static const Json::Value &memberOf(const Json::Value &object, const char *member)
{
    const bool isThere = object.isObject() && object.isMember(member);
    return isThere ? object[member] : Json::Value::nullSingleton();
}

static const Json::Value &listOf(const Json::Value &object, const char *member)
{
    static const Json::Value Empty(Json::arrayValue);
    const Json::Value &value = memberOf(object, member);
    return value.isArray() ? value : Empty;
}

static std::string numberText(double number)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.4g", number);
    return text;
}

static std::string valueText(const Json::Value &value)
{
    if (value.isNull())
        return "-";
    if (value.isString())
        return value.asString().empty() ? "-" : value.asString();
    if (value.isBool())
        return value.asBool() ? "yes" : "no";
    if (value.isDouble() && !value.isIntegral())
        return numberText(value.asDouble());
    return writeJson(value);
}

std::string cellText(const Json::Value &object, const char *member)
{
    return valueText(memberOf(object, member));
}

static std::string spanText(const Json::Value &object, const char *member)
{
    const Json::Value &value = memberOf(object, member);
    if (!value.isNumeric())
        return "-";
    const double seconds = value.asDouble() / 1000;
    constexpr double Minute = 60;
    constexpr double Hour = 3600;
    if (seconds < Minute)
        return numberText(seconds) + " s";
    if (seconds < Hour)
        return numberText(seconds / Minute) + " min";
    return numberText(seconds / Hour) + " h";
}

// One column for each member, in order.
static std::string renderRows(const Json::Value &rows, const std::vector<std::string> &headings,
                              const std::vector<const char *> &members)
{
    TextTable table(headings);
    for (const Json::Value &row : rows) {
        std::vector<std::string> cells;
        for (const char *member : members)
            cells.push_back(cellText(row, member));
        table.addRow(std::move(cells));
    }
    return table.toString();
}

std::string renderStatus(const Json::Value &answer)
{
    std::string text = "node     " + cellText(answer, "vm") + " in " + cellText(answer, "zone")
                       + ", incarnation " + cellText(answer, "incarnation") + "\n";
    text += "phase    " + cellText(answer, "phase") + ", ready: " + cellText(answer, "ready")
            + "\n";
    text += "version  " + cellText(answer, "config_version") + ", in force for "
            + spanText(answer, "config_age_ms") + "\n";
    text += "log      reachable: " + cellText(answer, "log_ok") + "\n\n";
    return text
           + renderRows(listOf(answer, "members"),
                        {"VM", "ZONE", "STATE", "INCARNATION", "VERSION", "ENDPOINT"},
                        {"vm", "zone", "state", "incarnation", "config_version", "endpoint"});
}

static std::string modelsText(const Json::Value &target)
{
    std::string text;
    for (const Json::Value &model : listOf(target, "models"))
        text += (text.empty() ? "" : ",") + cellText(model, "name") + "@"
                + cellText(model, "version");
    return text.empty() ? "-" : text;
}

static std::string usageText(const Json::Value &target)
{
    const Json::Value &used = memberOf(target, "used_tokens");
    const Json::Value &capacity = memberOf(target, "capacity_tokens");
    if (!used.isNumeric() || !capacity.isNumeric() || capacity.asDouble() <= 0)
        return "-";
    return numberText(100 * used.asDouble() / capacity.asDouble()) + "%";
}

std::string renderTargets(const Json::Value &answer)
{
    TextTable table({"TARGET", "KIND", "ZONE", "POOL", "STATE", "RUNNING", "WAITING", "MEMORY",
                     "PREEMPTIONS", "REPORT AGE", "MODELS"});
    for (const Json::Value &target : listOf(answer, "targets"))
        table.addRow({cellText(target, "id"), cellText(target, "kind"), cellText(target, "zone"),
                      cellText(target, "pool"), cellText(target, "state"),
                      cellText(target, "running"), cellText(target, "waiting"), usageText(target),
                      cellText(target, "preemptions"), spanText(target, "report_age_ms"),
                      modelsText(target)});
    return table.toString();
}

std::string renderHistory(const Json::Value &answer)
{
    return renderRows(listOf(answer, "verdicts"),
                      {"OFFSET", "BASE", "ACCEPTED", "AUTHOR", "PUBLICATION", "REASON"},
                      {"offset", "base", "accepted", "author", "publication_id", "reason"});
}

std::string renderExplanation(const Json::Value &answer)
{
    return renderRows(listOf(answer, "attempts"),
                      {"TARGET", "RULE", "SCORE", "CANDIDATES", "EXPECTED TOKENS",
                       "RESERVED TOKENS", "HEADROOM TOKENS", "PREFIX TOKENS", "HELD MS"},
                      {"target", "rule", "score", "candidates", "expected_tokens",
                       "reserved_tokens", "headroom_tokens", "prefix_tokens", "held_ms"});
}

std::string renderBurn(const Json::Value &answer)
{
    return renderRows(listOf(answer, "rows"),
                      {"SERVICE", "ORGANISATION", "ZONE", "OBJECTIVE", "WINDOW", "REQUESTS", "BAD",
                       "BURN", "ALERT"},
                      {"service", "organisation", "zone", "objective", "window", "requests", "bad",
                       "burn", "alert"});
}

std::string renderPoison(const Json::Value &answer)
{
    TextTable table({"FINGERPRINT", "SUSPICION", "DEATHS"});
    for (const Json::Value &entry : listOf(answer, "entries")) {
        std::string deaths;
        for (const Json::Value &target : listOf(entry, "deaths"))
            deaths += (deaths.empty() ? "" : ",") + valueText(target);
        table.addRow({cellText(entry, "fingerprint"), cellText(entry, "suspicion"),
                      deaths.empty() ? "-" : deaths});
    }
    return table.toString();
}

std::string renderOutcome(const Json::Value &answer)
{
    return "outcome  " + cellText(answer, "outcome") + "\nstatus   " + cellText(answer, "status")
           + "\n";
}

std::string renderChanges(const Json::Value &changes)
{
    std::string text;
    for (const Json::Value &change : changes) {
        text += cellText(change, "kind") + " " + cellText(change, "object") + "\n";
        for (const Json::Value &field : listOf(change, "fields"))
            text += "    " + cellText(field, "field") + ": " + cellText(field, "before") + " -> "
                    + cellText(field, "after") + "\n";
    }
    return text.empty() ? "no difference\n" : text;
}

} // namespace currantwalk
