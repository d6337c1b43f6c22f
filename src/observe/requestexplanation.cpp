#include "observe/requestexplanation.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdio>
#include <map>
#include <set>

#include "base/enumtable.h"
#include "base/json.h"

namespace currantwalk {

// How long before a request lines about the node's state are considered. Most state that affects a
// request is logged within this time: a store outage is logged only once, when it begins, and
// rarely lasts longer than a minute.
static constexpr int ContextSeconds = 60;
// How long after the last line of an unfinished request a restart of its node is looked for.
static constexpr int RestartSeconds = 30;

static constexpr std::string_view EndPrefix = "Request ended: ";
static constexpr std::string_view RefusedPrefix = "Refused: ";
static constexpr std::string_view SentPrefix = "Sent";
static constexpr std::string_view StartedPrefix = "Started";
static constexpr std::array<std::string_view, 5> KnownMembers{"time", "level", "part", "message",
                                                              "request"};
static constexpr std::string_view CountMember = "count"; // Number of dropped lines.

static absl::Status schemaError(std::string_view member, std::string_view expected)
{
    return makeError(ErrorCode::JsonInvalid,
                     std::string(member) + ": expected " + std::string(expected));
}

static bool isTime(std::string_view text)
{
    constexpr std::string_view Shape = "dddd-dd-ddTdd:dd:dd";
    if (text.size() <= Shape.size() || text.back() != 'Z')
        return false;
    for (std::size_t i = 0; i < Shape.size(); ++i) {
        const bool isDigit = std::isdigit(static_cast<unsigned char>(text[i])) != 0;
        if (Shape[i] == 'd' ? !isDigit : text[i] != Shape[i])
            return false;
    }
    const std::string_view fraction = text.substr(Shape.size(), text.size() - Shape.size() - 1);
    const bool isFraction =
            fraction.empty()
            || (fraction.size() > 1 && fraction.front() == '.'
                && std::all_of(fraction.begin() + 1, fraction.end(),
                               [](unsigned char digit) { return std::isdigit(digit) != 0; }));
    return isFraction;
}

// Writers omit a zero fraction. Padding to one length makes times sortable as text.
static std::string paddedTime(const std::string &time)
{
    constexpr std::size_t WithFraction = std::string_view("2026-03-21T12:55:01.000000").size();
    std::string padded = time.substr(0, time.size() - 1);
    if (padded.find('.') == std::string::npos)
        padded += '.';
    padded.resize(std::max(padded.size(), WithFraction), '0');
    return padded + 'Z';
}

static std::string_view trimmed(std::string_view text)
{
    while (!text.empty() && std::isspace(static_cast<unsigned char>(text.front())) != 0)
        text.remove_prefix(1);
    while (!text.empty() && std::isspace(static_cast<unsigned char>(text.back())) != 0)
        text.remove_suffix(1);
    return text;
}

// A log collector's prefix may begin with a timestamp; its last word is the name of the VM.
static std::string sourceOf(std::string_view prefix, const std::string &fileName)
{
    const std::string_view words = trimmed(prefix);
    const std::size_t space = words.rfind(' ');
    const std::string_view last = space == std::string_view::npos ? words : words.substr(space + 1);
    return last.empty() ? fileName : std::string(last);
}

static absl::Status checkMembers(const Json::Value &json)
{
    for (const std::string &name : json.getMemberNames()) {
        const bool isKnown =
                std::find(KnownMembers.begin(), KnownMembers.end(), name) != KnownMembers.end();
        if (!isKnown && name != CountMember)
            return schemaError(name, "no such member");
    }
    if (json.isMember("request")
        && (!json["request"].isString() || json["request"].asString().empty()))
        return schemaError("request", "an id");
    if (json.isMember("count") && !json["count"].isUInt64())
        return schemaError("count", "a number");
    return absl::OkStatus();
}

absl::StatusOr<LoggedLine> parseLoggedLine(std::string_view line, const std::string &fileName)
{
    const std::size_t begin = line.find('{');
    if (begin == std::string_view::npos)
        return makeError(ErrorCode::JsonInvalid, "no JSON object");
    const absl::StatusOr<Json::Value> json = parseJson(std::string(line.substr(begin)));
    if (!json.ok())
        return json.status();
    if (!json->isObject())
        return makeError(ErrorCode::JsonInvalid, "no JSON object");
    const absl::Status members = checkMembers(*json);
    if (!members.ok())
        return members;
    const std::optional<LogLevel> level =
            logLevelFromName(stringMember(*json, "level").value_or(""));
    if (!level)
        return schemaError("level", "debug, info, warning or error");
    const std::optional<LogPart> part = logPartFromName(stringMember(*json, "part").value_or(""));
    if (!part)
        return schemaError("part", "the name of a part");
    const std::string time = stringMember(*json, "time").value_or("");
    if (!isTime(time))
        return schemaError("time", "a time in UTC");
    const std::string message = stringMember(*json, "message").value_or("");
    if (message.empty())
        return schemaError("message", "a text");
    return LoggedLine{
            sourceOf(line.substr(0, begin), fileName),  paddedTime(time), *level, *part, message,
            stringMember(*json, "request").value_or("")};
}

void LogSet::read(std::istream &stream, const std::string &fileName)
{
    std::string line;
    for (std::size_t number = 1; std::getline(stream, line); ++number) {
        if (trimmed(line).empty())
            continue;
        absl::StatusOr<LoggedLine> record = parseLoggedLine(line, fileName);
        if (record.ok())
            records.push_back(*std::move(record));
        else
            parseErrors.push_back({fileName, number, record.status()});
    }
}

static double secondsOf(const std::string &time)
{
    int hours = 0;
    int minutes = 0;
    double seconds = 0;
    const bool isRead =
            std::sscanf(time.c_str() + time.find('T'), "T%d:%d:%lf", &hours, &minutes, &seconds)
            == 3;
    return isRead ? hours * 3600.0 + minutes * 60.0 + seconds : 0;
}

// Returns the seconds from \a earlier to \a later, which must be less than a day apart.
static double secondsBetween(const std::string &earlier, const std::string &later)
{
    constexpr double Day = 24 * 3600;
    const double difference = secondsOf(later) - secondsOf(earlier);
    return difference < -Day / 2 ? difference + Day : difference;
}

static bool isBefore(const LoggedLine &left, const LoggedLine &right)
{
    return left.time < right.time;
}

static bool hasPrefix(const std::string &text, std::string_view prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

// Returns the ids of the \a known targets that occur in the messages of \a records,
// which may read "Target ID is ..." or "The entry ID ...".
static std::set<std::string> targetsNamedIn(const std::vector<LoggedLine> &records,
                                            const std::set<std::string> &known)
{
    std::set<std::string> named;
    for (const LoggedLine &record : records) {
        for (const std::string &target : known) {
            if (record.message.find(target) != std::string::npos)
                named.insert(target);
        }
    }
    return named;
}

static std::string targetOf(const LoggedLine &record)
{
    constexpr std::string_view Prefix = "Target ";
    if (record.part != LogPart::Targets || !hasPrefix(record.message, Prefix))
        return "";
    const std::size_t end = record.message.find(' ', Prefix.size());
    return record.message.substr(Prefix.size(), end - Prefix.size());
}

// Returns whether the line is about the node, its peers or the store, rather than one target.
static bool isNodeState(const LoggedLine &record)
{
    switch (record.part) {
    case LogPart::Config:
    case LogPart::Daemon:
    case LogPart::Drain:
    case LogPart::Peers:
        return true;
    case LogPart::Targets:
        return targetOf(record).empty();
    default:
        return false;
    }
}

// Adds the latest line of each part from before the request, and all lines written during it.
static void addNodeState(const LogSet &logs, const LoggedLine &first, const LoggedLine &last,
                         const std::set<std::string> &sources, std::vector<LoggedLine> &story)
{
    std::map<std::pair<std::string, LogPart>, LoggedLine> latest;
    for (const LoggedLine &record : logs.records) {
        if (!record.request.empty() || sources.count(record.source) == 0 || !isNodeState(record))
            continue;
        const double before = secondsBetween(record.time, first.time);
        if (before >= 0 && before <= ContextSeconds) {
            LoggedLine &known = latest[{record.source, record.part}];
            if (known.time <= record.time)
                known = record;
        } else if (before < 0 && secondsBetween(last.time, record.time) <= 0) {
            story.push_back(record);
        }
    }
    for (const auto &[key, record] : latest)
        story.push_back(record);
}

// All nodes log the same change of a target; only the earliest line is added.
static void addTargetRecords(const LogSet &logs, const LoggedLine &first, const LoggedLine &last,
                             std::vector<LoggedLine> &story)
{
    // A target's failure is detected only after its streams have broken.
    constexpr double AfterEndSeconds = 2;
    std::set<std::string> known;
    for (const LoggedLine &record : logs.records)
        known.insert(targetOf(record));
    known.erase("");
    const std::set<std::string> named = targetsNamedIn(story, known);
    std::map<std::string, LoggedLine> earliest;
    for (const LoggedLine &record : logs.records) {
        const bool isNear = secondsBetween(record.time, first.time) <= ContextSeconds
                            && secondsBetween(last.time, record.time) <= AfterEndSeconds;
        if (named.count(targetOf(record)) == 0 || !isNear)
            continue;
        const auto inserted = earliest.emplace(record.message, record);
        if (!inserted.second && isBefore(record, inserted.first->second))
            inserted.first->second = record;
    }
    for (const auto &[message, record] : earliest)
        story.push_back(record);
}

static std::string causeOf(const LogSet &logs, const std::vector<LoggedLine> &own)
{
    const LoggedLine &last = own.back();
    for (auto record = own.rbegin(); record != own.rend(); ++record) {
        if (hasPrefix(record->message, RefusedPrefix))
            return "It was refused by " + record->source
                   + " before it was placed: " + record->message.substr(RefusedPrefix.size()) + '.';
        if (!hasPrefix(record->message, EndPrefix))
            continue;
        std::string cause =
                "It ended at " + record->source + ": " + record->message.substr(EndPrefix.size());
        const auto failure =
                std::find_if(std::next(record), own.rend(), [](const LoggedLine &earlier) {
                    return !hasPrefix(earlier.message, SentPrefix);
                });
        if (failure != own.rend())
            cause += "; before that: " + failure->message;
        return cause;
    }
    const auto restart = std::find_if(
            logs.records.begin(), logs.records.end(), [&last](const LoggedLine &record) {
                const double after = secondsBetween(last.time, record.time);
                return record.source == last.source && record.part == LogPart::Daemon
                       && hasPrefix(record.message, StartedPrefix) && after >= 0
                       && after <= RestartSeconds;
            });
    if (restart != logs.records.end())
        return last.source + " was killed while the request was in progress, and started again at "
               + restart->time + '.';
    return "Its end was not logged: it succeeded in time, " + last.source
           + " was killed, or the line was dropped.";
}

absl::StatusOr<RequestExplanation> explainRequest(const LogSet &logs, const std::string &request)
{
    std::vector<LoggedLine> own;
    std::set<std::string> sources;
    for (const LoggedLine &record : logs.records) {
        if (record.request != request)
            continue;
        own.push_back(record);
        sources.insert(record.source);
    }
    if (own.empty())
        return makeError(ErrorCode::NotFound, "no line names the request " + request);
    std::stable_sort(own.begin(), own.end(), isBefore);
    RequestExplanation story;
    story.cause = causeOf(logs, own);
    story.records = own;
    addTargetRecords(logs, own.front(), own.back(), story.records);
    addNodeState(logs, own.front(), own.back(), sources, story.records);
    std::stable_sort(story.records.begin(), story.records.end(), isBefore);
    return story;
}

} // namespace currantwalk
