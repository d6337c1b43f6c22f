#include "daemon/paceexchange.h"

#include <algorithm>
#include <array>
#include <cmath>

#include "base/json.h"

namespace currantwalk {

// Speeds change slowly; the rows of all targets are most of a message.
static constexpr Duration EvidenceInterval = std::chrono::seconds(2);
// Numbers are told in thousandths, which are shorter than a double's digits.
static constexpr double Scale = 1000;
// Sums beyond this are no evidence of this or any fleet.
static constexpr double MaxSum = 1e9;
static constexpr double MaxSpeed = 1000;
static constexpr Duration MaxAge = std::chrono::hours(1);

static Json::Int64 scaled(double value)
{
    return std::llround(std::clamp(value, -MaxSum, MaxSum) * Scale);
}

static Json::Int64 milliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

static Duration ageFrom(const Json::Value &milliseconds)
{
    const auto most = std::chrono::duration_cast<std::chrono::milliseconds>(MaxAge).count();
    return std::chrono::milliseconds(
            std::min(milliseconds.asUInt64(), static_cast<Json::UInt64>(most)));
}

static absl::Status malformed()
{
    return makeError(ErrorCode::JsonInvalid, "a row of targets' pace is malformed");
}

static bool isStart(const Json::Value &row, Json::ArrayIndex size)
{
    return row.isArray() && row.size() == size && row[0].isString() && row[1].isUInt64();
}

static Json::Value startRow(const TargetStart &start)
{
    Json::Value row(Json::arrayValue);
    row.append(start.target.text());
    row.append(Json::UInt64(start.startedAt));
    return row;
}

static TargetStart startOf(const Json::Value &row)
{
    return {TargetId(row[0].asString()), row[1].asUInt64()};
}

Json::Value encodePaceSums(const PaceSums &sums)
{
    Json::Value rows(Json::arrayValue);
    for (const auto &[key, evidence] : sums) {
        Json::Value row = startRow(key.first);
        row.append(static_cast<int>(key.second));
        for (const double sum : {evidence.weight, evidence.times, evidence.loads,
                                 evidence.squaredLoads, evidence.products})
            row.append(scaled(sum));
        row.append(milliseconds(evidence.age));
        rows.append(std::move(row));
    }
    return rows;
}

absl::StatusOr<PaceSums> decodePaceSums(const Json::Value &json)
{
    constexpr Json::ArrayIndex RowSize = 9;
    constexpr Json::ArrayIndex FirstSum = 3;
    constexpr std::size_t SumCount = 5;
    if (!json.isNull() && !json.isArray())
        return malformed();
    PaceSums sums;
    for (const Json::Value &row : json) {
        if (!isStart(row, RowSize) || !row[2].isInt() || !row[RowSize - 1].isUInt64())
            return malformed();
        std::array<double, SumCount> values{};
        for (std::size_t i = 0; i < SumCount; ++i) {
            const Json::Value &value = row[FirstSum + static_cast<Json::ArrayIndex>(i)];
            if (!value.isInt64() || std::abs(value.asDouble()) > MaxSum * Scale)
                return malformed();
            values.at(i) = value.asDouble() / Scale;
        }
        const auto kind = static_cast<PaceKind>(row[2].asInt());
        if (kind < PaceKind::FirstEvent || kind > PaceKind::Answer || values[0] <= 0)
            return malformed();
        sums[{startOf(row), kind}] +=
                {values[0], values[1], values[2], values[3], values[4], ageFrom(row[RowSize - 1])};
    }
    return sums;
}

Json::Value encodeRampSums(const RampSums &sums)
{
    Json::Value rows(Json::arrayValue);
    for (const auto &[start, counts] : sums) {
        Json::Value row = startRow(start);
        row.append(scaled(counts.timely));
        row.append(scaled(counts.failed));
        row.append(milliseconds(counts.age));
        rows.append(std::move(row));
    }
    return rows;
}

absl::StatusOr<RampSums> decodeRampSums(const Json::Value &json)
{
    constexpr Json::ArrayIndex RowSize = 5;
    if (!json.isNull() && !json.isArray())
        return malformed();
    RampSums sums;
    for (const Json::Value &row : json) {
        if (!isStart(row, RowSize) || !row[2].isUInt64() || !row[3].isUInt64() || !row[4].isUInt64()
            || std::max(row[2].asDouble(), row[3].asDouble()) > MaxSum * Scale)
            return malformed();
        sums[startOf(row)] +=
                {row[2].asDouble() / Scale, row[3].asDouble() / Scale, ageFrom(row[4])};
    }
    return sums;
}

Json::Value encodeSpeeds(const RelativeSpeeds &speeds)
{
    Json::Value rows(Json::arrayValue);
    for (const auto &[start, speed] : speeds) {
        Json::Value row = startRow(start);
        row.append(scaled(speed));
        rows.append(std::move(row));
    }
    return rows;
}

absl::StatusOr<RelativeSpeeds> decodeSpeeds(const Json::Value &json)
{
    constexpr Json::ArrayIndex RowSize = 3;
    if (!json.isArray())
        return malformed();
    RelativeSpeeds speeds;
    for (const Json::Value &row : json) {
        if (!isStart(row, RowSize) || !row[2].isUInt64() || row[2].asUInt64() == 0
            || row[2].asDouble() > MaxSpeed * Scale)
            return malformed();
        speeds[startOf(row)] = row[2].asDouble() / Scale;
    }
    return speeds;
}

void PaceExchange::addTo(Json::Value &message, Scope scope, TimePoint now)
{
    const bool isOwn = scope == Scope::Own;
    const RampSums ramps = isOwn ? m_pace.ramps.own(now) : m_pace.ramps.reported(now);
    if (!ramps.empty())
        message["ramps"] = encodeRampSums(ramps);
    const auto sent = m_evidenceSentAt.find(scope);
    if (sent != m_evidenceSentAt.end() && now - sent->second < EvidenceInterval)
        return;
    m_evidenceSentAt[scope] = now;
    message["pace"] = encodePaceSums(isOwn ? m_pace.speeds.own() : m_pace.speeds.reported(now));
}

absl::Status PaceExchange::take(const Json::Value &message, Scope scope, const Sender &sender,
                                TimePoint now)
{
    absl::StatusOr<RampSums> ramps = decodeRampSums(message["ramps"]);
    absl::StatusOr<PaceSums> evidence = decodePaceSums(message["pace"]);
    if (!ramps.ok())
        return ramps.status();
    if (!evidence.ok())
        return evidence.status();
    const bool hasEvidence = message.isMember("pace");
    if (scope == Scope::Zone) {
        m_pace.ramps.updateZone(sender.zone, std::move(*ramps), now);
        if (hasEvidence)
            m_pace.speeds.updateZone(sender.zone, std::move(*evidence), now);
        return absl::OkStatus();
    }
    m_pace.ramps.updatePeer(sender.vm, sender.incarnation, sender.sequence, std::move(*ramps), now);
    if (hasEvidence)
        m_pace.speeds.updatePeer(sender.vm, sender.incarnation, sender.sequence,
                                 std::move(*evidence), now);
    return absl::OkStatus();
}

void PaceExchange::addToAnswer(Json::Value &answer, const Json::Value &message, const VmId &vm,
                               TimePoint now) const
{
    const RampSums ramps = m_pace.ramps.besides(vm, now);
    if (!ramps.empty())
        answer["ramps"] = encodeRampSums(ramps);
    if (!message.isMember("pace"))
        return;
    answer["speeds"] = encodeSpeeds(m_pace.speeds.current());
    answer["speeds_ms"] = milliseconds(now - m_pace.speeds.currentSince());
}

absl::Status PaceExchange::takeAnswer(const Json::Value &answer, TimePoint sentAt)
{
    absl::StatusOr<RampSums> ramps = decodeRampSums(answer["ramps"]);
    if (!ramps.ok())
        return ramps.status();
    if (answer.isMember("speeds")) {
        absl::StatusOr<RelativeSpeeds> speeds = decodeSpeeds(answer["speeds"]);
        if (!speeds.ok())
            return speeds.status();
        if (!answer["speeds_ms"].isUInt64())
            return malformed();
        m_pace.speeds.updateFound(std::move(*speeds), sentAt - ageFrom(answer["speeds_ms"]));
    }
    m_pace.ramps.updateOthers(std::move(*ramps), sentAt);
    return absl::OkStatus();
}

} // namespace currantwalk
