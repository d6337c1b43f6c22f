#ifndef CURRANTWALK_CALLS_TESTS_FAULTMATRIX_H
#define CURRANTWALK_CALLS_TESTS_FAULTMATRIX_H

#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "calls/tests/simcaller.h"

namespace currantwalk {

enum class MatrixFault {
    DaemonKilled,
    TargetKilled,
    TargetReclaimed, ///< Reclaimed by the platform after a notice period.
    LinkStalledHealed,
    LinkStalledClosed,
    ResetBeforeWrite,
    ResetDuringWrite,
    ResetAfterWrite,
    AnswerLost, ///< The request took effect, its answer is lost.
    AnswerLate,
    AnswerCrossed,
    AnswerDoubled,
    AnswerTruncated,
    ControlCallsFail, ///< Calls about a run fail while its own connection works.
    LogDown,
    LogSlow,
    LogLateEffect, ///< An append reported as failed takes effect later.
    LogAnswerLost, ///< The append took effect, its answer is lost.
    PeersUnreachable,
    ZoneCut,
    DaemonPaused,
    DrainBegun,
};

constexpr int MatrixFaultCount = static_cast<int>(MatrixFault::DrainBegun) + 1;

std::string_view matrixFaultName(MatrixFault fault);
std::string_view simRequestStepName(SimRequestStep step);

/// One combination of request kind, step and fault.
struct MatrixCell
{
    SimRequestKind kind = SimRequestKind::Streamed;
    SimRequestStep step = SimRequestStep::Queued;
    MatrixFault fault = MatrixFault::DaemonKilled;
};

struct MatrixResult
{
    SimOutcome end = SimOutcome::Open;
    bool wasInjected = false;
    std::vector<std::string> violations;
    std::set<SimOutcome> allowed;

    bool isPassed() const;
};

std::vector<SimRequestStep> stepsForKind(SimRequestKind kind);
/// Returns the outcomes that the documented guarantees allow.
std::set<SimOutcome> allowedOutcomes(const MatrixCell &cell);
MatrixResult runCell(const MatrixCell &cell);

} // namespace currantwalk

#endif // CURRANTWALK_CALLS_TESTS_FAULTMATRIX_H
