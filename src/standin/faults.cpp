#include "standin/faults.h"

#include <array>

#include "base/enumtable.h"
#include "base/json.h"

namespace currantwalk::standin {

static constexpr std::array<EnumName<FaultKind>, 6> FaultKindNames{{
        {FaultKind::Outage, "outage"},
        {FaultKind::LostAnswers, "lost-answers"},
        {FaultKind::Slow, "slow"},
        {FaultKind::Stall, "stall"},
        {FaultKind::Reset, "reset"},
        {FaultKind::Busy, "busy"},
}};

std::string_view faultKindName(FaultKind kind)
{
    return enumName(FaultKindNames, kind);
}

std::optional<FaultKind> faultKindFromName(std::string_view name)
{
    return enumValue(FaultKindNames, name);
}

static absl::StatusOr<Duration> millisecondsMember(const Json::Value &json, const char *name)
{
    if (!json.isMember(name))
        return Duration(0);
    const absl::StatusOr<std::uint64_t> milliseconds = unsignedMember(json, name);
    if (!milliseconds.ok())
        return milliseconds.status();
    return std::chrono::duration_cast<Duration>(
            std::chrono::milliseconds(static_cast<std::int64_t>(*milliseconds)));
}

absl::StatusOr<Fault> Fault::fromJson(const Json::Value &json)
{
    const absl::StatusOr<std::string> name = stringMember(json, "kind");
    if (!name.ok())
        return name.status();
    const std::optional<FaultKind> kind = faultKindFromName(*name);
    if (!kind)
        return makeError(ErrorCode::InvalidRequest, "no fault is named " + *name);
    Fault fault;
    fault.kind = *kind;
    if (json.isMember("share")) {
        const absl::StatusOr<double> share = numberMember(json, "share");
        if (!share.ok())
            return share.status();
        fault.share = *share;
    }
    const absl::StatusOr<Duration> delay = millisecondsMember(json, "delay_ms");
    if (!delay.ok())
        return delay.status();
    const absl::StatusOr<Duration> lasts = millisecondsMember(json, "lasts_ms");
    if (!lasts.ok())
        return lasts.status();
    fault.delay = *delay;
    fault.lasts = *lasts;
    return fault;
}

} // namespace currantwalk::standin
