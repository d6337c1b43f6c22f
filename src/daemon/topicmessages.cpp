#include "daemon/topicmessages.h"

#include <array>

#include <absl/strings/escaping.h>

#include "base/enumtable.h"
#include "base/json.h"

namespace currantwalk {

static constexpr std::array<EnumName<SharedTopic>, 3> SharedTopicNames{{
        {SharedTopic::Catalog, "catalog"},
        {SharedTopic::Targets, "targets"},
        {SharedTopic::Nodes, "nodes"},
}};

std::string_view sharedTopicName(SharedTopic topic)
{
    return enumName(SharedTopicNames, topic);
}

Json::Value encodeTopicQuestion(const TopicQuestion &question)
{
    Json::Value json(Json::objectValue);
    json["topic"] = std::string(sharedTopicName(question.topic));
    json["era"] = Json::UInt64(question.era);
    if (question.from)
        json["from"] = Json::UInt64(*question.from);
    json["wait_us"] = Json::UInt64(question.wait.count());
    return json;
}

absl::StatusOr<TopicQuestion> decodeTopicQuestion(const Json::Value &json)
{
    const absl::StatusOr<std::string> name = stringMember(json, "topic");
    if (!name.ok())
        return name.status();
    const std::optional<SharedTopic> topic = enumValue(SharedTopicNames, std::string_view(*name));
    if (!topic)
        return makeError(ErrorCode::JsonInvalid, "no topic is named " + *name);
    const absl::StatusOr<std::uint64_t> era = unsignedMember(json, "era");
    if (!era.ok())
        return era.status();
    const absl::StatusOr<std::uint64_t> wait = unsignedMember(json, "wait_us");
    if (!wait.ok())
        return wait.status();
    TopicQuestion question{*topic, *era, std::nullopt, Duration(static_cast<Duration::rep>(*wait))};
    if (!json.isMember("from"))
        return question;
    const absl::StatusOr<std::uint64_t> from = unsignedMember(json, "from");
    if (!from.ok())
        return from.status();
    question.from = *from;
    return question;
}

Json::Value encodeTopicTail(const KeyedTail &tail)
{
    Json::Value json(Json::objectValue);
    json["era"] = Json::UInt64(tail.origin.era);
    json["next"] = Json::UInt64(tail.next);
    if (tail.origin.provenAfter)
        json["proven_us"] = Json::Int64(tail.origin.provenAfter->count());
    if (tail.origin.sinceOutage) {
        json["outage_us"] = Json::UInt64(tail.origin.sinceOutage->count());
        json["outage_length_us"] = Json::UInt64(tail.origin.outageLength.count());
    }
    Json::Value &rows = json["records"] = Json::Value(Json::arrayValue);
    for (const KeyedRecord &record : tail.records) {
        // Such a key names nothing that nodes use, and the message could not be read.
        if (!isValidUtf8(record.key))
            continue;
        Json::Value row(Json::arrayValue);
        row.append(record.key);
        row.append(Json::UInt64(record.offset));
        if (record.value)
            row.append(absl::Base64Escape(*record.value));
        rows.append(std::move(row));
    }
    return json;
}

static absl::StatusOr<KeyedRecord> decodeRecord(const Json::Value &row)
{
    constexpr Json::ArrayIndex TombstoneSize = 2;
    constexpr Json::ArrayIndex RecordSize = 3;
    if (!row.isArray() || row.size() < TombstoneSize || row.size() > RecordSize
        || !row[0].isString() || !row[1].isUInt64())
        return makeError(ErrorCode::JsonInvalid, "a record is malformed");
    KeyedRecord record{row[0].asString(), std::nullopt, row[1].asUInt64()};
    if (row.size() == TombstoneSize)
        return record;
    std::string value;
    if (!row[2].isString() || !absl::Base64Unescape(row[2].asString(), &value))
        return makeError(ErrorCode::JsonInvalid, "a record's value is no base64");
    record.value = std::move(value);
    return record;
}

absl::StatusOr<KeyedTail> decodeTopicTail(const Json::Value &json)
{
    const absl::StatusOr<std::uint64_t> era = unsignedMember(json, "era");
    if (!era.ok())
        return era.status();
    const absl::StatusOr<std::uint64_t> next = unsignedMember(json, "next");
    if (!next.ok())
        return next.status();
    const Json::Value &proven = json["proven_us"];
    if ((!proven.isNull() && !proven.isInt64()) || !json["records"].isArray())
        return makeError(ErrorCode::JsonInvalid, "an answer with records is malformed");
    KeyedTail tail;
    tail.next = *next;
    tail.end = *next;
    tail.origin.era = *era;
    tail.origin.provenAfter.reset();
    if (!proven.isNull())
        tail.origin.provenAfter = Duration(proven.asInt64());
    tail.origin.isEraSettled = true;
    if (json.isMember("outage_us")) {
        const absl::StatusOr<std::uint64_t> outage = unsignedMember(json, "outage_us");
        if (!outage.ok())
            return outage.status();
        tail.origin.sinceOutage = Duration(static_cast<Duration::rep>(*outage));
    }
    // Not sent by earlier versions, whose outages are not known to have been long enough to count.
    if (json.isMember("outage_length_us")) {
        const absl::StatusOr<std::uint64_t> length = unsignedMember(json, "outage_length_us");
        if (!length.ok())
            return length.status();
        tail.origin.outageLength = Duration(static_cast<Duration::rep>(*length));
    }
    for (const Json::Value &row : json["records"]) {
        absl::StatusOr<KeyedRecord> record = decodeRecord(row);
        if (!record.ok())
            return record.status();
        tail.records.push_back(std::move(*record));
    }
    return tail;
}

} // namespace currantwalk
