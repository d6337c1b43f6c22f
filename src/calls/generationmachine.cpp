#include "calls/generationmachine.h"

#include <algorithm>
#include <cassert>
#include <cstdio>
#include <utility>

#include "base/enumtable.h"
#include "calls/invariant.h"
#include "calls/retrybudget.h"

namespace currantwalk {

// A connection without data for this long is abandoned and a new one is opened. An engine that is
// only slow attaches the new connection to the same generation. The timeout doubles after each
// stall, up to MaxStallDoublings times.
static constexpr Duration StallTimeout = std::chrono::seconds(5);
static constexpr std::uint32_t MaxStallDoublings = 3;

// Limits on the tokens buffered for a caller that reads slowly.
static constexpr std::size_t MaxBufferedTokens = 256;
static constexpr std::size_t MaxBufferedBytes = 64 * std::size_t{1024};

static constexpr std::array<EnumName<GenerationState>, 7> StateNames{{
        {GenerationState::New, "new"},
        {GenerationState::Queued, "queued"},
        {GenerationState::Sent, "sent"},
        {GenerationState::Streaming, "streaming"},
        {GenerationState::Recovering, "recovering"},
        {GenerationState::Detached, "detached"},
        {GenerationState::Settled, "settled"},
}};

namespace {

struct Transition
{
    GenerationState from;
    GenerationState to;
};

} // namespace

static constexpr std::array<Transition, 18> Transitions{{
        {GenerationState::New, GenerationState::Queued},
        {GenerationState::New, GenerationState::Streaming},
        {GenerationState::New, GenerationState::Settled},
        {GenerationState::Queued, GenerationState::Sent},
        {GenerationState::Queued, GenerationState::Recovering},
        {GenerationState::Queued, GenerationState::Settled},
        {GenerationState::Sent, GenerationState::Streaming},
        {GenerationState::Sent, GenerationState::Recovering},
        {GenerationState::Sent, GenerationState::Settled},
        {GenerationState::Streaming, GenerationState::Recovering},
        {GenerationState::Streaming, GenerationState::Detached},
        {GenerationState::Streaming, GenerationState::Settled},
        {GenerationState::Recovering, GenerationState::Queued},
        {GenerationState::Recovering, GenerationState::Sent},
        {GenerationState::Recovering, GenerationState::Streaming},
        {GenerationState::Recovering, GenerationState::Detached},
        {GenerationState::Recovering, GenerationState::Settled},
        {GenerationState::Detached, GenerationState::Settled},
}};

std::string_view generationStateName(GenerationState state)
{
    return enumName(StateNames, state);
}

static bool isAllowed(GenerationState from, GenerationState to)
{
    return std::any_of(Transitions.begin(), Transitions.end(), [from, to](const Transition &row) {
        return row.from == from && row.to == to;
    });
}

// Callers may choose their own request ids, so a random suffix makes attempt ids unique.
static std::string makeAttemptId(const RequestId &request, AttemptNumber number,
                                 RandomSource &random)
{
    std::array<char, 64> suffix{};
    std::snprintf(suffix.data(), suffix.size(), ".%u.%016llx", number,
                  static_cast<unsigned long long>(random.next64()));
    return request.text() + suffix.data();
}

GenerationMachine::GenerationMachine(GenerationRequest request, GenerationHooks hooks,
                                     TimerService &timers, RandomSource &random)
    : m_request(std::move(request)), m_hooks(std::move(hooks)), m_timers(timers), m_random(random)
{
}

GenerationMachine::~GenerationMachine()
{
    m_timers.cancel(m_timer);
    m_timers.cancel(m_deadlineTimer);
}

std::unique_ptr<GenerationCall> GenerationCall::create(GenerationRequest request,
                                                       GenerationHooks hooks, TimerService &timers,
                                                       RandomSource &random)
{
    return std::make_unique<GenerationMachine>(std::move(request), std::move(hooks), timers,
                                               random);
}

void GenerationMachine::transitionTo(GenerationState next)
{
    requireInvariant(isAllowed(m_state, next), Invariant::AllowedTransition);
    m_timers.cancel(m_timer);
    m_timer = NoTimer;
    m_state = next;
}

bool GenerationMachine::isCurrent(std::uint64_t exchange)
{
    if (exchange != 0 && exchange == m_exchange)
        return true;
    ++m_droppedAnswers;
    return false;
}

std::uint64_t GenerationMachine::beginExchange()
{
    abandonExchange();
    m_exchange = ++m_lastExchange;
    return m_exchange;
}

void GenerationMachine::abandonExchange()
{
    if (m_exchange == 0)
        return;
    // Whether this send reached the target can no longer be found out.
    if (m_state == GenerationState::Sent && !m_isProbing)
        m_executionState = ExecutionState::MayRun;
    m_hooks.abandonExchange(std::exchange(m_exchange, 0));
}

void GenerationMachine::setTimer(Duration delay, void (GenerationMachine::*step)())
{
    m_timers.cancel(m_timer);
    m_timer = m_timers.scheduleAfter(delay, [this, step] {
        m_timer = NoTimer;
        (this->*step)();
    });
}

void GenerationMachine::start()
{
    m_deadlineTimer = m_timers.scheduleAt(m_request.deadline, [this] { onDeadline(); });
    place();
}

// The original attempt is not known to this node; resuming needs only the generation id.
void GenerationMachine::startAt(const ResumePosition &point)
{
    m_deadlineTimer = m_timers.scheduleAt(m_request.deadline, [this] { onDeadline(); });
    m_generation = point.generation;
    m_attempt.target = point.generation.target;
    m_executionState = ExecutionState::MayRun;
    m_nextPosition = point.nextPosition;
    m_delivered = point.nextPosition;
    resume();
}

void GenerationMachine::place()
{
    transitionTo(GenerationState::Queued);
    m_hooks.requestPlacement(beginExchange(), m_excluded);
}

void GenerationMachine::onPlaced(std::uint64_t exchange, const TargetId &target)
{
    if (!isCurrent(exchange))
        return;
    assert(m_state == GenerationState::Queued && "only a queued request is placed");
    m_exchange = 0;
    m_attempt.number += 1;
    m_attempt.id = makeAttemptId(m_request.id, m_attempt.number, m_random);
    m_attempt.target = target;
    m_executionState = ExecutionState::NotRun;
    open();
}

// If earlier attempts have excluded all remaining targets, the exclusions are cleared and placement
// is retried. Each further attempt takes a retry from the budget, which bounds the repetitions.
void GenerationMachine::onPlacementFailed(std::uint64_t exchange, const absl::Status &status,
                                          Duration retryAfter)
{
    if (!isCurrent(exchange))
        return;
    m_exchange = 0;
    if (errorCode(status) != ErrorCode::NoTarget || m_excluded.empty())
        return fail(status, retryAfter);
    m_excluded.clear();
    transitionTo(GenerationState::Recovering);
    setTimer(retryDelay(m_attempt.number, m_random), &GenerationMachine::place);
}

// After a pause of the process, the placement result may be handled before the deadline timer.
void GenerationMachine::open()
{
    if (m_timers.now() >= m_request.deadline)
        return onDeadline();
    transitionTo(GenerationState::Sent);
    m_isProbing = m_lostSends > 0 || m_hooks.isSuspect();
    if (!m_isProbing)
        return send();
    m_hooks.probeLiveness(beginExchange(), m_attempt.target);
    startStallTimer();
}

void GenerationMachine::onProbeSucceeded(std::uint64_t exchange)
{
    if (!isCurrent(exchange))
        return;
    m_exchange = 0;
    m_isProbing = false;
    send();
}

void GenerationMachine::send()
{
    m_hooks.openGeneration(beginExchange(), m_attempt);
    startStallTimer();
}

void GenerationMachine::resume()
{
    transitionTo(GenerationState::Streaming);
    m_hooks.resumeGeneration(beginExchange(), *m_generation, m_nextPosition);
    startStallTimer();
}

void GenerationMachine::reconnect()
{
    if (m_generation)
        resume();
    else
        open();
}

void GenerationMachine::startStallTimer()
{
    const std::uint32_t doublings = std::min(m_stalls, MaxStallDoublings);
    setTimer(StallTimeout * (1U << doublings), &GenerationMachine::onStall);
}

// A stall does not show that the target failed, so it counts neither as a retry nor as a failure.
void GenerationMachine::onStall()
{
    ++m_stalls;
    abandonExchange();
    transitionTo(GenerationState::Recovering);
    reconnect();
}

void GenerationMachine::onOpened(std::uint64_t exchange, const GenerationId &generation)
{
    if (!isCurrent(exchange))
        return;
    if (m_generation && *m_generation != generation) {
        abandonExchange();
        return onAttemptLost(
                makeError(ErrorCode::GenerationLost,
                          "the engine reported a different generation for this request"),
                true);
    }
    m_executionState = ExecutionState::MayRun;
    if (m_generation)
        return;
    m_generation = generation;
    transitionTo(GenerationState::Streaming);
    startStallTimer();
}

void GenerationMachine::onToken(std::uint64_t exchange, std::uint32_t position, std::string text)
{
    if (!isCurrent(exchange))
        return;
    if (position < m_nextPosition) {
        ++m_droppedAnswers;
        return;
    }
    if (!m_generation || position > m_nextPosition) {
        abandonExchange();
        m_executionState = ExecutionState::MayRun;
        return retryAtTarget(
                makeError(ErrorCode::TargetProtocolError, "the token stream has a gap"));
    }
    ++m_nextPosition;
    m_retriesSinceProgress = 0;
    m_connectFailures = 0;
    m_stalls = 0;
    m_failingSince.reset();
    m_bufferedBytes += text.size();
    m_buffer.push_back(std::move(text));
    startStallTimer();
    if (!isDeliveryDeferred())
        return flush();
    if (isBufferFull())
        pauseReading();
}

// If the end of the stream gives another token count than was received, the stream was truncated
// and the missing tokens are read again.
void GenerationMachine::onFinished(std::uint64_t exchange, std::uint32_t tokens,
                                   FinishReason reason)
{
    if (!isCurrent(exchange))
        return;
    m_exchange = 0;
    if (!m_generation || tokens != m_nextPosition) {
        m_executionState = ExecutionState::MayRun;
        return retryAtTarget(
                makeError(ErrorCode::TargetProtocolError, "the token stream was truncated"));
    }
    m_timers.cancel(m_timer);
    m_timer = NoTimer;
    m_executionState = ExecutionState::Ended;
    m_finish = reason;
    finishIfDelivered();
}

void GenerationMachine::onCallerBlocked(bool isBlocked)
{
    if (m_isCallerBlocked == isBlocked || isSettled())
        return;
    m_isCallerBlocked = isBlocked;
    if (isBlocked || m_state == GenerationState::Detached)
        return;
    if (!isDeliveryDeferred())
        flush();
    if (m_finish)
        return finishIfDelivered();
    if (std::exchange(m_isPaused, false))
        reconnect();
}

void GenerationMachine::pauseReading()
{
    abandonExchange();
    m_isPaused = true;
    transitionTo(GenerationState::Recovering);
}

bool GenerationMachine::isDeliveryDeferred() const
{
    return m_request.delivery == Delivery::Buffered || m_isCallerBlocked;
}

// A non-streamed answer must be buffered completely; the engine's own length limit bounds it.
bool GenerationMachine::isBufferFull() const
{
    if (m_request.delivery == Delivery::Buffered)
        return false;
    return m_buffer.size() >= MaxBufferedTokens || m_bufferedBytes >= MaxBufferedBytes;
}

void GenerationMachine::flush()
{
    while (!m_buffer.empty()) {
        requireInvariant(m_generation.has_value(), Invariant::OneGeneration);
        requireInvariant(m_delivered + m_buffer.size() == m_nextPosition,
                         Invariant::PositionsGrowByOne);
        const std::string text = std::move(m_buffer.front());
        m_buffer.pop_front();
        m_bufferedBytes -= text.size();
        m_hooks.deliverToken(*m_generation, m_delivered++, text);
    }
}

void GenerationMachine::finishIfDelivered()
{
    if (m_request.delivery == Delivery::Streamed && m_isCallerBlocked && !m_buffer.empty())
        return;
    flush();
    settle();
    m_hooks.finish(*m_finish);
}

// An answer that has been received completely is still delivered after the deadline.
void GenerationMachine::onDeadline()
{
    if (m_finish) {
        flush();
        settle();
        return m_hooks.finish(*m_finish);
    }
    abandonExchange();
    const bool mayBeReadElsewhere = m_state == GenerationState::Detached && m_hooks.queryReaders;
    if (!mayBeReadElsewhere)
        cancelAttempt();
    fail(makeError(ErrorCode::DeadlineExceeded,
                   "the generation did not finish before the deadline"));
}

// Only a caller that has received a resume token can resume the generation, so without delivered
// tokens it is cancelled at once.
void GenerationMachine::onCallerGone()
{
    if (isSettled() || m_state == GenerationState::Detached)
        return;
    abandonExchange();
    if (m_finish || m_delivered == 0) {
        cancelAttempt();
        return fail(makeError(ErrorCode::Cancelled, "the caller closed its connection"));
    }
    transitionTo(GenerationState::Detached);
    setTimer(ResumeWindow, &GenerationMachine::onResumeWindowClosed);
}

void GenerationMachine::onTakenOver()
{
    if (isSettled())
        return;
    fail(makeError(ErrorCode::Cancelled, "the generation was resumed on another connection"));
}

// Cancelling a generation that another node reads would break its caller's stream, so all nodes
// are queried first.
void GenerationMachine::onResumeWindowClosed()
{
    if (!m_hooks.queryReaders)
        return onReaderQueryResult(false);
    m_hooks.queryReaders(*m_generation);
    setTimer(ResumeWindow, &GenerationMachine::onResumeWindowClosed);
}

void GenerationMachine::onReaderQueryResult(bool isRead)
{
    if (m_state != GenerationState::Detached)
        return;
    if (!isRead)
        cancelAttempt();
    fail(makeError(ErrorCode::Cancelled, "the caller did not resume within the resume window"));
}

Outcome GenerationMachine::failureOutcome() const
{
    if (m_generation || m_hasEarlierAttemptRun)
        return Outcome::Failed;
    if (m_executionState == ExecutionState::MayRun || m_mayEarlierAttemptHaveRun)
        return Outcome::Unknown;
    return Outcome::NotRun;
}

void GenerationMachine::fail(const absl::Status &status, Duration retryAfter)
{
    abandonExchange();
    const Outcome outcome = failureOutcome();
    requireInvariant(outcome != Outcome::NotRun || m_nextPosition == 0, Invariant::NotRunIsProven);
    settle();
    m_hooks.fail(status, outcome, retryAfter);
}

void GenerationMachine::settle()
{
    requireInvariant(!isSettled(), Invariant::OneOutcome);
    abandonExchange();
    transitionTo(GenerationState::Settled);
    m_timers.cancel(m_deadlineTimer);
    m_deadlineTimer = NoTimer;
    m_buffer.clear();
}

} // namespace currantwalk
