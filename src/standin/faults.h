#ifndef CURRANTWALK_STANDIN_FAULTS_H
#define CURRANTWALK_STANDIN_FAULTS_H

#include <optional>
#include <string>
#include <string_view>

#include <json/value.h>

#include "base/error.h"
#include "base/timerservice.h"

namespace currantwalk::standin {

/// What can be asked to go wrong at one part of the stand-in.
enum class FaultKind {
    Outage,      ///< Connections are closed without an answer, and nothing takes effect.
    LostAnswers, ///< The action takes effect; the connection closes without an answer.
    Slow,        ///< Answers wait for `delay`.
    Stall,       ///< Answers that have begun stop; new ones get no byte.
    Reset,       ///< Answers that have begun are cut off once.
    Busy,        ///< Requests are refused as the protocol defines.
};

/// Returns the wire name, such as "lost-answers".
std::string_view faultKindName(FaultKind kind);
std::optional<FaultKind> faultKindFromName(std::string_view name);

/// The fault asked for at one part: at most one at a time.
struct Fault
{
    FaultKind kind = FaultKind::Outage;
    double share = 1.0; ///< Of the requests that it strikes.
    Duration delay{0};  ///< Of Slow.
    Duration lasts{0};  ///< 0: until it is cleared.

    /// Reads {"kind": …, "share": …, "delay_ms": …, "lasts_ms": …}; all but kind may be left out.
    /// Fails with InvalidRequest.
    static absl::StatusOr<Fault> fromJson(const Json::Value &json);
};

} // namespace currantwalk::standin

#endif // CURRANTWALK_STANDIN_FAULTS_H
