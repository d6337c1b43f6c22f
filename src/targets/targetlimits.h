#ifndef CURRANTWALK_TARGETS_TARGETLIMITS_H
#define CURRANTWALK_TARGETS_TARGETLIMITS_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "base/ids.h"
#include "base/timerservice.h"

namespace currantwalk {

/// What the head of an answer says about the limit of its target.
struct LimitNotice
{
    enum class Kind {
        None,       ///< The target names no limit.
        Named,      ///< It names the requests a second that it takes from all nodes together.
        Unreadable, ///< What it names is no such number; nothing is known from it.
    };

    Kind kind = Kind::None;
    double perSecond = 0; ///< With Named; finite, at least 0.
};

/// The limit that one start of a target has named, as a node knows it.
struct TargetLimit
{
    TargetId target;
    std::uint64_t startedAt = 0;     ///< Unix time in milliseconds; 0 if unknown.
    std::optional<double> perSecond; ///< Requests; nothing: it names a limit no more.
    TimePoint statedAt{};            ///< Since when nothing newer is known.
    TimePoint changedAt{};           ///< When the value was first stated.
};

/// What an answer has changed in what is known of a limit.
enum class LimitChange {
    Unchanged,
    Changed,
    FirstUnreadable, ///< The first answer of the target's start with a limit that can't be read.
};

/// Tracks the limits that targets name in their answers. A new start of a target knows nothing of
/// the limit that an earlier one has named.
class TargetLimits
{
public:
    /// Highest limit that is told apart from higher ones.
    static constexpr double MaxPerSecond = 1'000'000;
    /// How long other nodes are told of a change; a message may be lost.
    static constexpr Duration ChangeNoticePeriod = std::chrono::seconds(3);

    /// Applies what an answer says that arrives at \a now, to a request written at \a sentAt.
    LimitChange apply(const TargetId &target, std::uint64_t startedAt, const LimitNotice &notice,
                      TimePoint sentAt, TimePoint now);
    /// Applies what another node knows, unless what is known is newer. Returns whether the limit is
    /// another one now.
    bool merge(const TargetLimit &limit);

    /// Returns what is known of the limit of a target's start; nullptr if it never named one.
    const TargetLimit *find(const TargetId &target, std::uint64_t startedAt) const;
    /// Returns the requests a second that the target's start takes; nothing if it names no limit.
    std::optional<double> limitOf(const TargetId &target, std::uint64_t startedAt) const;
    bool isEmpty() const { return m_limits.empty(); }
    /// Returns the limits that have changed recently, those that have ended among them.
    std::vector<TargetLimit> recentChanges(TimePoint now) const;
    /// Returns the limits that are named.
    std::vector<TargetLimit> named() const;
    /// Removes limits that have ended, and those of targets that \a isKnown does not know.
    void expire(const std::function<bool(const TargetId &)> &isKnown, TimePoint now);

private:
    std::map<TargetId, TargetLimit> m_limits;
    std::map<TargetId, std::uint64_t> m_unreadable; ///< Starts that have named unreadable limits.
};

} // namespace currantwalk

#endif // CURRANTWALK_TARGETS_TARGETLIMITS_H
