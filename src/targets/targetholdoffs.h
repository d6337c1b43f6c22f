#ifndef CURRANTWALK_TARGETS_TARGETHOLDOFFS_H
#define CURRANTWALK_TARGETS_TARGETHOLDOFFS_H

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "base/ids.h"
#include "base/timerservice.h"

namespace currantwalk {

/// Tracks the targets that have turned this node away for a time. Such a target is sent nothing
/// until the time is over, and then one request at a time until it has taken one. A new start of a
/// target is not held off by what an earlier one said.
class TargetHoldOffs
{
public:
    /// Longest time that a target can ask for.
    static constexpr Duration MaxHoldOff = std::chrono::hours(1);

    /// Called when the target turned a request away for \a period, counted from \a now. Returns the
    /// end of its time.
    TimePoint onTurnedAway(const TargetId &target, std::uint64_t startedAt, Duration period,
                           TimePoint now);
    /// Called when a request is written to the target.
    void onSent(const TargetId &target, std::uint64_t startedAt, TimePoint now);
    /// Called when a target has answered otherwise than by turning the request away.
    void onTaken(const TargetId &target, std::uint64_t startedAt, TimePoint now);
    /// Returns how long the target is to be sent nothing; zero if it may be sent a request.
    Duration remaining(const TargetId &target, std::uint64_t startedAt, TimePoint now) const;
    /// Returns whether a stream that has no other place to go on may be sent to a target that is
    /// held off. That is allowed once for each time that a target asks for.
    bool tryResume(const TargetId &target, std::uint64_t startedAt, TimePoint now);
    bool isEmpty() const { return m_entries.empty(); }
    /// Removes entries that no longer matter.
    void expire(TimePoint now);
    /// Returns the number of targets that are to be sent nothing.
    std::size_t countHeldOff(TimePoint now) const;

private:
    struct Entry
    {
        std::uint64_t startedAt = 0;
        TimePoint until{};
        std::optional<TimePoint> trialSentAt; ///< Of the first request after the time was over.
        bool isResumeUsed = false;
    };

    const Entry *find(const TargetId &target, std::uint64_t startedAt) const;

    std::map<TargetId, Entry> m_entries;
};

} // namespace currantwalk

#endif // CURRANTWALK_TARGETS_TARGETHOLDOFFS_H
