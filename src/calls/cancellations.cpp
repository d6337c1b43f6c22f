#include "calls/cancellations.h"

#include <utility>

#include "calls/retrybudget.h"

namespace currantwalk {

// After this time a cancellation is given up: stopping the generation is no longer worth retries.
static constexpr Duration RetryPeriod = std::chrono::minutes(10);
// A cancellation without an answer after this time is retried.
static constexpr Duration AnswerTimeout = std::chrono::seconds(3);

Cancellations::Cancellations(Send send, TimerService &timers, RandomSource &random)
    : m_send(std::move(send)), m_timers(timers), m_random(random)
{
}

Cancellations::~Cancellations()
{
    for (const auto &[number, entry] : m_entries)
        m_timers.cancel(entry.timer);
}

void Cancellations::add(const GenerationAttempt &attempt,
                        const std::optional<GenerationId> &generation)
{
    const std::uint64_t number = ++m_lastNumber;
    Entry &entry = m_entries[number];
    entry.attempt = attempt;
    entry.generation = generation;
    entry.giveUpAt = m_timers.now() + RetryPeriod;
    send(number);
}

void Cancellations::send(std::uint64_t number)
{
    Entry &entry = m_entries.at(number);
    ++entry.tries;
    entry.timer = m_timers.scheduleAfter(AnswerTimeout, [this, number] {
        onAnswer(number, makeError(ErrorCode::ConnectionLost, "no answer to a cancellation"));
    });
    m_send(number, entry.attempt, entry.generation);
}

void Cancellations::onAnswer(std::uint64_t number, const absl::Status &status)
{
    const auto it = m_entries.find(number);
    if (it == m_entries.end())
        return;
    Entry &entry = it->second;
    m_timers.cancel(entry.timer);
    const bool isUnknown = !status.ok()
                           && (errorCode(status) == ErrorCode::NotFound
                               || errorCode(status) == ErrorCode::ResumeExpired);
    const bool isConfirmed = status.ok() || isUnknown;
    if (isConfirmed || m_timers.now() >= entry.giveUpAt) {
        ++(isConfirmed ? m_confirmed : m_givenUp);
        m_entries.erase(it);
        return;
    }
    entry.timer = m_timers.scheduleAfter(retryDelay(entry.tries, m_random),
                                         [this, number] { send(number); });
}

// Without a generation id the incarnation that the attempt was sent to is not known, but it can't
// be higher than the one that died.
void Cancellations::onTargetGone(const TargetId &target, Incarnation incarnation)
{
    std::erase_if(m_entries, [&](const auto &row) {
        const Entry &entry = row.second;
        const bool isOlder = !entry.generation || entry.generation->incarnation <= incarnation;
        if (entry.attempt.target != target || !isOlder)
            return false;
        m_timers.cancel(entry.timer);
        return true;
    });
}

} // namespace currantwalk
