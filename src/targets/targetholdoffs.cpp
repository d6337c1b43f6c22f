#include "targets/targetholdoffs.h"

#include <algorithm>
#include <utility>

namespace currantwalk {

// A trial without an answer for this long does not hold back the next one.
static constexpr Duration MaxTrialTime = std::chrono::milliseconds(500);
// How long after its time is over a target is still sent one request at a time.
static constexpr Duration TrialPeriod = std::chrono::seconds(10);

const TargetHoldOffs::Entry *TargetHoldOffs::find(const TargetId &target,
                                                  std::uint64_t startedAt) const
{
    const auto it = m_entries.find(target);
    return it != m_entries.end() && it->second.startedAt == startedAt ? &it->second : nullptr;
}

// Several requests may be turned away at once, with different times; the latest end counts.
TimePoint TargetHoldOffs::onTurnedAway(const TargetId &target, std::uint64_t startedAt,
                                       Duration period, TimePoint now)
{
    Entry &entry = m_entries[target];
    if (entry.startedAt != startedAt)
        entry = {startedAt, {}, std::nullopt, false};
    if (now >= entry.until)
        entry.isResumeUsed = false;
    entry.until = std::max(entry.until, now + std::min(period, MaxHoldOff));
    entry.trialSentAt.reset();
    return entry.until;
}

void TargetHoldOffs::onSent(const TargetId &target, std::uint64_t startedAt, TimePoint now)
{
    const Entry *const entry = find(target, startedAt);
    if (entry && now >= entry->until)
        m_entries[target].trialSentAt = now;
}

// What was sent before the target turned others away may still be answered.
void TargetHoldOffs::onTaken(const TargetId &target, std::uint64_t startedAt, TimePoint now)
{
    const Entry *const entry = find(target, startedAt);
    if (entry && now >= entry->until)
        m_entries.erase(target);
}

Duration TargetHoldOffs::remaining(const TargetId &target, std::uint64_t startedAt,
                                   TimePoint now) const
{
    const Entry *const entry = find(target, startedAt);
    if (!entry)
        return Duration::zero();
    if (now < entry->until)
        return entry->until - now;
    if (!entry->trialSentAt)
        return Duration::zero();
    return std::max(Duration::zero(), *entry->trialSentAt + MaxTrialTime - now);
}

bool TargetHoldOffs::tryResume(const TargetId &target, std::uint64_t startedAt, TimePoint now)
{
    const Entry *const entry = find(target, startedAt);
    if (!entry || now >= entry->until)
        return true;
    return !std::exchange(m_entries[target].isResumeUsed, true);
}

void TargetHoldOffs::expire(TimePoint now)
{
    std::erase_if(m_entries,
                  [now](const auto &each) { return now >= each.second.until + TrialPeriod; });
}

std::size_t TargetHoldOffs::countHeldOff(TimePoint now) const
{
    return static_cast<std::size_t>(
            std::count_if(m_entries.begin(), m_entries.end(),
                          [now](const auto &each) { return now < each.second.until; }));
}

} // namespace currantwalk
