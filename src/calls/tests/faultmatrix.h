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
    TargetReclaimed, ///< At notice.
    LinkStalledHealed,
    LinkStalledClosed,
    ResetBeforeWrite,
    ResetDuringWrite,
    ResetAfterWrite,
    AnswerLost, ///< After the effect.
    AnswerLate,
    AnswerCrossed,
    AnswerDoubled,
    AnswerTruncated,
    LogDown,
    LogSlow,
    LogLateEffect, ///< An append that failed takes effect later.
    LogAnswerLost, ///< After the append took effect.
    PeersUnreachable,
    ZoneCut,
    DaemonPaused,
    DrainBegun,
};

constexpr int MatrixFaultCount = static_cast<int>(MatrixFault::DrainBegun) + 1;

std::string_view matrixFaultName(MatrixFault fault);
std::string_view simStepName(SimStep step);

/// One fault at one step of one kind of request.
struct MatrixCell
{
    SimKind kind = SimKind::Streamed;
    SimStep step = SimStep::Queued;
    MatrixFault fault = MatrixFault::DaemonKilled;
};

struct MatrixResult
{
    SimEnd end = SimEnd::Open;
    bool wasInjected = false;
    std::vector<std::string> violations;
    std::set<SimEnd> allowed;

    bool isPassed() const;
};

std::vector<SimStep> stepsOf(SimKind kind);
/// Returns the ends that the promises allow, whatever the program does.
std::set<SimEnd> allowedEnds(const MatrixCell &cell);
MatrixResult runCell(const MatrixCell &cell);

} // namespace currantwalk

#endif // CURRANTWALK_CALLS_TESTS_FAULTMATRIX_H
