#ifndef CURRANTWALK_CALLS_CANCELLATIONS_H
#define CURRANTWALK_CALLS_CANCELLATIONS_H

#include <cstdint>
#include <functional>
#include <map>
#include <optional>

#include "base/error.h"
#include "base/randomsource.h"
#include "base/timerservice.h"
#include "calls/generationcall.h"

namespace currantwalk {

/// Cancels generations whose output is no longer needed, and retries until the engines confirm that
/// they stopped.
class Cancellations
{
public:
    /// Asks the engine to stop a generation. The answer comes by onAnswer(), never from within the
    /// call.
    using Send = std::function<void(std::uint64_t number, const GenerationAttempt &attempt,
                                    const std::optional<GenerationId> &generation)>;

    /// \a timers and \a random must outlive this object.
    Cancellations(Send send, TimerService &timers, RandomSource &random);
    ~Cancellations();

    Cancellations(const Cancellations &) = delete;
    Cancellations &operator=(const Cancellations &) = delete;

    void add(const GenerationAttempt &attempt, const std::optional<GenerationId> &generation);
    /// Called with the engine's answer. NotFound and ResumeExpired confirm the cancellation too:
    /// the engine does not know the generation.
    void onAnswer(std::uint64_t number, const absl::Status &status);
    /// Called when the target is gone; everything that ran there at \a incarnation or earlier has
    /// ended.
    void onTargetGone(const TargetId &target, Incarnation incarnation);

    std::size_t pending() const { return m_entries.size(); }
    std::uint64_t confirmed() const { return m_confirmed; }
    std::uint64_t givenUp() const { return m_givenUp; }

private:
    struct Entry
    {
        GenerationAttempt attempt;
        std::optional<GenerationId> generation;
        TimePoint giveUpAt{};
        std::uint32_t tries = 0;
        TimerId timer = NoTimer;
    };

    void send(std::uint64_t number);

    const Send m_send;
    TimerService &m_timers;
    RandomSource &m_random;
    std::map<std::uint64_t, Entry> m_entries;
    std::uint64_t m_lastNumber = 0;
    std::uint64_t m_confirmed = 0;
    std::uint64_t m_givenUp = 0;
};

} // namespace currantwalk

#endif // CURRANTWALK_CALLS_CANCELLATIONS_H
