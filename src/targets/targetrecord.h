#ifndef CURRANTWALK_TARGETS_TARGETRECORD_H
#define CURRANTWALK_TARGETS_TARGETRECORD_H

#include <optional>

#include "targets/targettable.h"

namespace currantwalk {

/// The known state of one target, with the rules for changes of its incarnation and state.
///
/// Each apply function returns whether the state, incarnation or models changed.
class TargetRecord
{
public:
    explicit TargetRecord(TargetId id);

    bool applyListed(const ListedTarget &row, TimePoint now);
    /// Called when the platform's list no longer contains the target.
    bool applyUnlisted(TimePoint now);
    bool applyReport(const TargetReport &report, TimePoint now);
    /// An \a incarnation of 0 means the currently known one.
    bool applyLeaving(Incarnation incarnation, TimePoint now);
    bool applyGone(Incarnation incarnation, TimePoint observedAt, TimePoint now);

    const Target &target() const { return m_target; }
    bool isListed() const { return m_isListed; }
    /// Returns whether a report of the current incarnation has been received.
    bool isReported() const { return m_isReported; }
    /// Returns the state to send to peers. It is leaving only if the incarnation is leaving, not if
    /// only the platform's list says so, since peers read that list themselves.
    TargetState stateForPeers() const;
    /// Returns when the target was last listed or a message about it last applied.
    TimePoint lastUpdatedAt() const { return m_lastUpdatedAt; }

private:
    bool updateState(Incarnation incarnationBefore);
    TargetState currentState() const;
    bool isIncarnationLeaving() const;
    bool isLeaving() const;
    void startIncarnation(Incarnation incarnation, TimePoint now);

    Target m_target;
    std::optional<Incarnation> m_lastLeavingIncarnation;
    std::optional<TimePoint> m_goneAt;
    TimePoint m_lastUpdatedAt{};
    bool m_isListed = false;
    bool m_wasListed = false;
    bool m_isListedLeaving = false;
    bool m_isReported = false;
};

} // namespace currantwalk

#endif // CURRANTWALK_TARGETS_TARGETRECORD_H
