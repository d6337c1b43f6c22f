#ifndef CURRANTWALK_TARGETS_TARGETRECORD_H
#define CURRANTWALK_TARGETS_TARGETRECORD_H

#include <optional>

#include "targets/targettable.h"

namespace currantwalk {

/// What is known of one target, and the rules by which its incarnation and state move.
///
/// Each function that takes news returns whether state, incarnation or models changed.
class TargetRecord
{
public:
    explicit TargetRecord(TargetId id);

    bool applyListed(const ListedTarget &row, TimePoint now);
    /// The platform's list lacks the target now.
    bool applyUnlisted(TimePoint now);
    bool applyReport(const TargetReport &report, TimePoint now);
    /// \a incarnation 0 stands for the one that is known.
    bool applyLeaving(Incarnation incarnation, TimePoint now);
    bool applyGone(Incarnation incarnation, TimePoint observedAt, TimePoint now);

    const Target &target() const { return m_target; }
    bool isListed() const { return m_isListed; }
    /// Whether a report of this incarnation has been seen.
    bool isReported() const { return m_isReported; }
    /// The state as it is told to others, who read the platform's list for themselves: leaving only
    /// where that holds for the incarnation, not where just the list says so.
    TargetState sharedState() const;
    /// When the record last was listed or heard of.
    TimePoint heardAt() const { return m_heardAt; }

private:
    bool refresh(Incarnation incarnationBefore);
    TargetState currentState() const;
    bool isLeavingForGood() const;
    bool isLeaving() const;
    void adopt(Incarnation incarnation, TimePoint now);

    Target m_target;
    std::optional<Incarnation> m_leavingThrough;
    std::optional<TimePoint> m_goneAt;
    TimePoint m_heardAt{};
    bool m_isListed = false;
    bool m_wasListed = false;
    bool m_isListedLeaving = false;
    bool m_isReported = false;
};

} // namespace currantwalk

#endif // CURRANTWALK_TARGETS_TARGETRECORD_H
