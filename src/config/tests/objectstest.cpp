#include <string>
#include <vector>

#include "base/json.h"
#include "config/durationtext.h"
#include "config/objectcheck.h"
#include "config/objectcodec.h"
#include "config/objectdiff.h"
#include "config/objectfiles.h"
#include "config/tomldocument.h"

#include <CppUTest/TestHarness.h>

using namespace currantwalk;
using namespace std::chrono_literals;

static const char *const ValidText = R"([zones.z]
region = "r"
[pools.engines]
kind = "engine"
zones = ["z"]
[pools.desk]
kind = "plain"
[models.m]
pool = "engines"
weights = "w"
version = "1"
[adapters.a]
model = "m"
weights = "w2"
version = "1"
[priorities.p]
rank = 1
max_hold = "250ms"
[limits.l]
streams = 3
[objectives.o]
token_gap = "200ms"
[services.s]
models = ["m", "a"]
objective = "o"
limit = "l"
[services.d]
kind = "plain"
pool = "desk"
idempotent_methods = ["PUT"]
[organisations.org]
key_hashes = ["0000000000000000000000000000000000000000000000000000000000000000"]
priority = "p"
limit = "l"
services = ["s", "d"]
)";

TEST_GROUP(Durations){};

TEST(Durations, roundTripInTheirLargestUnit)
{
    for (const char *text : {"0s", "250ms", "10s", "1h", "90s", "7us", "36h"}) {
        const std::optional<Duration> duration = parseDuration(text);
        CHECK(duration.has_value());
        CHECK(parseDuration(formatDuration(*duration)) == duration);
    }
    STRCMP_EQUAL("90s", formatDuration(90s).c_str());
    STRCMP_EQUAL("2m", formatDuration(120s).c_str());
}

TEST(Durations, rejectsMalformedDurations)
{
    for (const char *text : {"", "10", "s", "1.5s", "-1s", "10 s", "10sec", "99999999999999999h",
                             "9223372036854775807h", "+3s"})
        CHECK(!parseDuration(text));
}

TEST_GROUP(Toml){};

TEST(Toml, keepsLinesOfKeysAndElements)
{
    TomlDocument document;
    CHECK(!parseToml("[a.b]\nx = [1,\n 2]\n", &document));
    CHECK_EQUAL(2U, document.lines.at("a/b/x"));
    CHECK_EQUAL(3U, document.lines.at("a/b/x[1]"));
}

// The library inspects the character after an invalid value; sanitizers must not report an error.
TEST(Toml, rejectsAnInvalidValueBeforeANonAsciiCharacter)
{
    for (const char *text :
         {"-=99[\"9\xEF\xBB\xB1\"vz\"zz=", "a = 1[\"\xC3\xA9\"x", "a = 1[\"\xE3\x81\x82\"x"}) {
        TomlDocument document;
        CHECK(parseToml(text, &document).has_value());
    }
    TomlDocument document;
    CHECK(!parseToml("a = \"\xC3\xA9\xEF\xBB\xB1\"", &document).has_value());
    STRCMP_EQUAL("\xC3\xA9\xEF\xBB\xB1", document.root["a"].asString().c_str());
}

TEST(Toml, rejectsNonAsciiOutsideStringsAndComments)
{
    TomlDocument document;
    const std::optional<TomlFault> fault = parseToml("a = 1\nJ\xC8\xA5 = 2\n", &document);
    CHECK(fault.has_value());
    CHECK_EQUAL(2U, fault->line);
    CHECK(!parseToml("a = \"caf\xC3\xA9 \\\" \xC3\xA9\" # \xC3\xA9\nb = '''\n\xC3\xA9'''\n",
                     &document));
    CHECK(!parseToml("a = \"\"\"x\"\xC3\xA9\"\"\"\n", &document));
}

TEST(Toml, reportsMalformedTextsWithTheirLine)
{
    TomlDocument document;
    for (const char *text :
         {"a = 1\n[", "a = 1\nb = ", "a = 1\n[\n", "a = 1\n'2[\xE6'", "a = 1\nx = \"open\n"}) {
        const std::optional<TomlFault> fault = parseToml(text, &document);
        CHECK(fault.has_value());
        CHECK(fault->line >= 1);
    }
}

TEST_GROUP(Objects){static std::vector<ConfigFault> faultsOf(const std::string &text){
        return loadObjects({ObjectFile{"set.toml", text}}).faults;
}

static bool hasFault(const std::vector<ConfigFault> &faults, ConfigFaultKind kind,
                     const std::string &object, const std::string &field)
{
    for (const ConfigFault &fault : faults) {
        if (fault.kind == kind && fault.object == object && fault.field == field)
            return true;
    }
    return false;
}

static std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    const std::size_t at = text.find(from);
    CHECK(at != std::string::npos);
    return text.replace(at, from.size(), to);
}
}
;

TEST(Objects, validSetRoundTripsThroughCanonicalJson)
{
    const LoadedObjects loaded = loadObjects({ObjectFile{"set.toml", ValidText}});
    CHECK(loaded.faults.empty());
    CHECK(loaded.objects.priorities.at("p").maxHold == 250ms);
    const Json::Value encoded = encodeObjects(loaded.objects);
    const absl::StatusOr<ObjectSet> decoded = decodeValidObjects(encoded);
    CHECK(decoded.ok());
    STRCMP_EQUAL(writeJson(encoded).c_str(), writeJson(encodeObjects(*decoded)).c_str());
}

TEST(Objects, rejectsUnknownSchemaAndMembers)
{
    Json::Value encoded = encodeObjects(loadObjects({ObjectFile{"set.toml", ValidText}}).objects);
    Json::Value other = encoded;
    other["schema"] = 2;
    CHECK(errorCode(decodeValidObjects(other).status()) == ErrorCode::ConfigInvalid);
    other = encoded;
    other["extras"] = Json::Value(Json::objectValue);
    CHECK(errorCode(decodeValidObjects(other).status()) == ErrorCode::ConfigInvalid);
    other = encoded;
    other["models"]["m"]["colour"] = "red";
    CHECK(errorCode(decodeValidObjects(other).status()) == ErrorCode::ConfigInvalid);
    CHECK(!decodeValidObjects(Json::Value(3)).ok());
}

TEST(Objects, samplesAreValid)
{
    for (const char *sample : {"glaz-froid", "daloy", "demo"}) {
        const std::string path = std::string(SAMPLES_DIRECTORY) + "/" + sample;
        const LoadedObjects loaded = loadObjectPaths({path});
        for (const ConfigFault &fault : loaded.faults)
            FAIL(formatFault(fault).c_str());
        CHECK(loaded.objects.organisations.size() >= 10);
        CHECK_EQUAL(3U, loaded.objects.zones.size());
    }
}

TEST(Objects, reportsAllFaultsAtOnceWithPositions)
{
    const std::vector<ConfigFault> faults = faultsOf(R"([models.m]
pool = "engine"
weights = "w"
replicas = 0
[pools.engines]
zones = ["nowhere"]
kind = "motor"
[adapters.a]
model = "b"
weights = "w"
version = "1"
[adapters.b]
model = "a"
weights = "w"
version = "1"
[priorities.p]
rank = "high"
max_hold = 30
[limits.l]
[objectives.o]
share = 1.0
token_gap = "5 sec"
[services.s]
models = ["m", "m"]
deadline = "48h"
key_window = "3h"
colour = "red"
[organisations.x]
key_hashes = ["abc"]
priority = "q"
[things.t]
)");
    CHECK(hasFault(faults, ConfigFaultKind::BrokenReference, "models/m", "pool"));
    CHECK(hasFault(faults, ConfigFaultKind::MissingKey, "models/m", "version"));
    CHECK(hasFault(faults, ConfigFaultKind::BadValue, "models/m", "replicas"));
    CHECK(hasFault(faults, ConfigFaultKind::BrokenReference, "pools/engines", "zones[0]"));
    CHECK(hasFault(faults, ConfigFaultKind::BadValue, "pools/engines", "kind"));
    CHECK(hasFault(faults, ConfigFaultKind::Cycle, "adapters/a", "model"));
    CHECK(hasFault(faults, ConfigFaultKind::Cycle, "adapters/b", "model"));
    CHECK(hasFault(faults, ConfigFaultKind::WrongType, "priorities/p", "rank"));
    CHECK(hasFault(faults, ConfigFaultKind::WrongUnit, "priorities/p", "max_hold"));
    CHECK(hasFault(faults, ConfigFaultKind::BadValue, "limits/l", ""));
    CHECK(hasFault(faults, ConfigFaultKind::BadValue, "objectives/o", "share"));
    CHECK(hasFault(faults, ConfigFaultKind::WrongUnit, "objectives/o", "token_gap"));
    CHECK(hasFault(faults, ConfigFaultKind::Duplicate, "services/s", "models[1]"));
    CHECK(hasFault(faults, ConfigFaultKind::BadValue, "services/s", "deadline"));
    CHECK(hasFault(faults, ConfigFaultKind::BadValue, "services/s", "key_window"));
    CHECK(hasFault(faults, ConfigFaultKind::UnknownKey, "services/s", "colour"));
    CHECK(hasFault(faults, ConfigFaultKind::BadValue, "organisations/x", "key_hashes[0]"));
    CHECK(hasFault(faults, ConfigFaultKind::BrokenReference, "organisations/x", "priority"));
    CHECK(hasFault(faults, ConfigFaultKind::UnknownKey, "things", ""));
    CHECK_EQUAL(19U, faults.size());
    for (const ConfigFault &fault : faults) {
        STRCMP_EQUAL("set.toml", fault.file.c_str());
        CHECK(fault.line > 0);
        CHECK(!fault.remedy.empty());
    }
}

TEST(Objects, faultNamesFileLineAndClosestName)
{
    const std::vector<ConfigFault> faults =
            faultsOf(replaced(ValidText, "pool = \"engines\"", "pool = \"engine\""));
    CHECK_EQUAL(1U, faults.size());
    STRCMP_EQUAL("set.toml:9: broken-reference: models/m: pool: no \"engine\" in pools; add "
                 "[pools.engine] or did you mean \"engines\"?",
                 formatFault(faults[0]).c_str());
}

TEST(Objects, objectDefinedInTwoFilesIsADuplicate)
{
    const LoadedObjects loaded = loadObjects(
            {ObjectFile{"a.toml", "[zones.z]\nregion = \"r\"\n[zones.z-2]\nregion = \"r\"\n"},
             ObjectFile{"b.toml", "\n[zones.z]\nregion = \"r\"\n"}});
    CHECK_EQUAL(1U, loaded.faults.size());
    CHECK(loaded.faults[0].kind == ConfigFaultKind::Duplicate);
    STRCMP_EQUAL("b.toml", loaded.faults[0].file.c_str());
    CHECK_EQUAL(2U, loaded.faults[0].line);
}

TEST(Objects, everyUnreadableFileIsReported)
{
    const LoadedObjects loaded =
            loadObjects({ObjectFile{"a.toml", "[zones\n"}, ObjectFile{"b.toml", "x = \n"}});
    CHECK_EQUAL(2U, loaded.faults.size());
    CHECK(loadObjectPaths({"/nonexistent.toml"}).faults.at(0).kind == ConfigFaultKind::File);
}

// Each single change to a valid set must be reported as the corresponding fault.
TEST(Objects, eachSingleFaultIsReported)
{
    struct Case
    {
        const char *from;
        const char *to;
        ConfigFaultKind kind;
        const char *object;
        const char *field;
    };
    const Case cases[] = {
            {"kind = \"engine\"", "kind = \"plain\"", ConfigFaultKind::BrokenReference, "models/m",
             "pool"},
            {"model = \"m\"", "model = \"a\"", ConfigFaultKind::Cycle, "adapters/a", "model"},
            {"[adapters.a]", "[adapters.m]", ConfigFaultKind::Duplicate, "adapters/m", ""},
            {"streams = 3", "streams = -3", ConfigFaultKind::BadValue, "limits/l", "streams"},
            {"streams = 3", "streams = 3.5", ConfigFaultKind::WrongType, "limits/l", "streams"},
            {"streams = 3", "tokens_per_second = nan", ConfigFaultKind::WrongType, "limits/l",
             "tokens_per_second"},
            {"\"PUT\"", "\"GET\"", ConfigFaultKind::BadValue, "services/d",
             "idempotent_methods[0]"},
            {"pool = \"desk\"", "pool = \"engines\"", ConfigFaultKind::BrokenReference,
             "services/d", "pool"},
            {"rank = 1", "rank = 5000000000", ConfigFaultKind::BadValue, "priorities/p", "rank"},
            {"[zones.z]", "[zones.\"a b\"]", ConfigFaultKind::BadName, "zones/a b", ""},
            {"services = [\"s\", \"d\"]", "services = \"s\"", ConfigFaultKind::WrongType,
             "organisations/org", "services"},
            {"weights = \"w\"", "weights = 1979-05-27", ConfigFaultKind::WrongType, "models/m",
             "weights"},
            {"token_gap = \"200ms\"", "token_gap = \"200ms\"\nstall = \"1ms\"",
             ConfigFaultKind::BadValue, "objectives/o", "stall"},
    };
    for (const Case &test : cases) {
        const std::vector<ConfigFault> faults = faultsOf(replaced(ValidText, test.from, test.to));
        CHECK_TEXT(hasFault(faults, test.kind, test.object, test.field), test.to);
    }
}

TEST(Objects, diffNamesObjectsAndFields)
{
    const ObjectSet from = loadObjects({ObjectFile{"set.toml", ValidText}}).objects;
    ObjectSet to = from;
    to.models.at("m").version = "2";
    to.adapters.erase("a");
    to.zones["y"] = ZoneObject{"y", "r"};
    const std::vector<ObjectChange> changes = diffObjects(from, to);
    CHECK_EQUAL(3U, changes.size());
    CHECK(changes[0].kind == ObjectChangeKind::Removed);
    STRCMP_EQUAL("adapters/a", changes[0].object.c_str());
    CHECK(changes[1].kind == ObjectChangeKind::Changed);
    CHECK_EQUAL(1U, changes[1].fields.size());
    STRCMP_EQUAL("version", changes[1].fields[0].field.c_str());
    STRCMP_EQUAL("\"1\"", changes[1].fields[0].before.c_str());
    STRCMP_EQUAL("\"2\"", changes[1].fields[0].after.c_str());
    CHECK(changes[2].kind == ObjectChangeKind::Added);
    CHECK(diffObjects(from, from).empty());
}
