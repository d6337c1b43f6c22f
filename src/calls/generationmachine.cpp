#include "calls/generationmachine.h"

#include <algorithm>
#include <cassert>
#include <cstdio>
#include <utility>

#include "base/enumtable.h"
#include "calls/invariant.h"
#include "calls/retrybudget.h"

namespace currantwalk {

// A link that is silent for this long is tried anew beside the old one; an engine that is merely
// slow attaches the new connection to the same generation. The wait doubles with each silence.
static constexpr Duration StallTimeout = std::chrono::seconds(5);
static constexpr std::uint32_t MaxStallDoublings = 3;

// Of tokens that a slow caller has not taken yet.
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

// A caller may choose its own request ids, so a random part keeps attempts apart.
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

void GenerationMachine::enter(GenerationState next)
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
    dropExchange();
    m_exchange = ++m_lastExchange;
    return m_exchange;
}

void GenerationMachine::dropExchange()
{
    if (m_exchange == 0)
        return;
    // Nobody will tell whether this send reached the target.
    if (m_state == GenerationState::Sent && !m_isProving)
        m_fate = AttemptFate::MayRun;
    m_hooks.abandon(std::exchange(m_exchange, 0));
}

void GenerationMachine::setTimer(Duration delay, void (GenerationMachine::*step)())
{
    m_timers.cancel(m_timer);
    m_timer = m_timers.subscribeAfter(delay, [this, step] {
        m_timer = NoTimer;
        (this->*step)();
    });
}

void GenerationMachine::start()
{
    m_deadlineTimer = m_timers.subscribeAt(m_request.deadline, [this] { onDeadline(); });
    place();
}

// The prompt's own target and attempt are not known here; the generation's id is all it takes.
void GenerationMachine::startAt(const ResumePoint &point)
{
    m_deadlineTimer = m_timers.subscribeAt(m_request.deadline, [this] { onDeadline(); });
    m_generation = point.generation;
    m_attempt.target = point.generation.target;
    m_fate = AttemptFate::MayRun;
    m_nextPosition = point.nextPosition;
    m_delivered = point.nextPosition;
    resume();
}

void GenerationMachine::place()
{
    enter(GenerationState::Queued);
    m_hooks.place(beginExchange(), m_excluded);
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
    m_fate = AttemptFate::NotRun;
    open();
}

// Where all other targets were excluded by earlier attempts, those get another chance: each round
// costs a retry of the budget, which bounds them.
void GenerationMachine::onPlacementFailed(std::uint64_t exchange, const absl::Status &status,
                                          Duration retryAfter)
{
    if (!isCurrent(exchange))
        return;
    m_exchange = 0;
    if (errorCode(status) != ErrorCode::NoTarget || m_excluded.empty())
        return fail(status, retryAfter);
    m_excluded.clear();
    enter(GenerationState::Recovering);
    setTimer(retryDelay(m_attempt.number, m_random), &GenerationMachine::place);
}

// After a pause of the process the answer to a placement may be read before the deadline's timer.
void GenerationMachine::open()
{
    if (m_timers.now() >= m_request.deadline)
        return onDeadline();
    enter(GenerationState::Sent);
    m_isProving = m_sendsLost > 0 || m_hooks.isSuspect();
    if (!m_isProving)
        return send();
    m_hooks.proveAlive(beginExchange(), m_attempt.target);
    watchForStall();
}

void GenerationMachine::onAlive(std::uint64_t exchange)
{
    if (!isCurrent(exchange))
        return;
    m_exchange = 0;
    m_isProving = false;
    send();
}

void GenerationMachine::send()
{
    m_hooks.open(beginExchange(), m_attempt);
    watchForStall();
}

void GenerationMachine::resume()
{
    enter(GenerationState::Streaming);
    m_hooks.resume(beginExchange(), *m_generation, m_nextPosition);
    watchForStall();
}

void GenerationMachine::reconnect()
{
    if (m_generation)
        resume();
    else
        open();
}

void GenerationMachine::watchForStall()
{
    const std::uint32_t doublings = std::min(m_stalls, MaxStallDoublings);
    setTimer(StallTimeout * (1U << doublings), &GenerationMachine::onStall);
}

// Silence proves nothing of the target, so it counts neither as a try nor as trouble.
void GenerationMachine::onStall()
{
    ++m_stalls;
    dropExchange();
    enter(GenerationState::Recovering);
    reconnect();
}

void GenerationMachine::onOpened(std::uint64_t exchange, const GenerationId &generation)
{
    if (!isCurrent(exchange))
        return;
    if (m_generation && *m_generation != generation) {
        dropExchange();
        return lose(makeError(ErrorCode::GenerationLost, "the engine runs another generation"),
                    true);
    }
    m_fate = AttemptFate::MayRun;
    if (m_generation)
        return;
    m_generation = generation;
    enter(GenerationState::Streaming);
    watchForStall();
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
        dropExchange();
        m_fate = AttemptFate::MayRun;
        return recover(makeError(ErrorCode::TargetProtocol, "the stream skipped a token"));
    }
    ++m_nextPosition;
    m_tries = 0;
    m_connectFailures = 0;
    m_stalls = 0;
    m_troubleSince.reset();
    m_bufferedBytes += text.size();
    m_buffer.push_back(std::move(text));
    watchForStall();
    if (!isHeldBack())
        return flush();
    if (isBufferFull())
        pauseForCaller();
}

// An end that names more tokens than came is a truncated stream; the rest is read again.
void GenerationMachine::onFinished(std::uint64_t exchange, std::uint32_t tokens,
                                   FinishReason reason)
{
    if (!isCurrent(exchange))
        return;
    m_exchange = 0;
    if (!m_generation || tokens != m_nextPosition) {
        m_fate = AttemptFate::MayRun;
        return recover(makeError(ErrorCode::TargetProtocol, "the stream ended short"));
    }
    m_timers.cancel(m_timer);
    m_timer = NoTimer;
    m_fate = AttemptFate::Ended;
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
    if (!isHeldBack())
        flush();
    if (m_finish)
        return finishIfDelivered();
    if (std::exchange(m_isPaused, false))
        reconnect();
}

void GenerationMachine::pauseForCaller()
{
    dropExchange();
    m_isPaused = true;
    enter(GenerationState::Recovering);
}

bool GenerationMachine::isHeldBack() const
{
    return m_request.delivery == Delivery::Whole || m_isCallerBlocked;
}

// A whole answer has to be kept whole, and is bounded by the engine's own limit on its length.
bool GenerationMachine::isBufferFull() const
{
    if (m_request.delivery == Delivery::Whole)
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
        m_hooks.deliver(*m_generation, m_delivered++, text);
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

// An answer that is whole here goes out even so; the deadline is for what is still to come.
void GenerationMachine::onDeadline()
{
    if (m_finish) {
        flush();
        settle();
        return m_hooks.finish(*m_finish);
    }
    dropExchange();
    const bool mayBeReadElsewhere = m_state == GenerationState::Detached && m_hooks.askReaders;
    if (!mayBeReadElsewhere)
        cancelAttempt();
    fail(makeError(ErrorCode::DeadlineExceeded, "the answer did not end by the deadline"));
}

// Only a caller that holds a resume token can come back for the same generation.
void GenerationMachine::onCallerGone()
{
    if (isSettled() || m_state == GenerationState::Detached)
        return;
    dropExchange();
    if (m_finish || m_delivered == 0) {
        cancelAttempt();
        return fail(makeError(ErrorCode::Cancelled, "the caller went away"));
    }
    enter(GenerationState::Detached);
    setTimer(ResumeWindow, &GenerationMachine::onResumeWindowClosed);
}

void GenerationMachine::onTakenOver()
{
    if (isSettled())
        return;
    fail(makeError(ErrorCode::Cancelled, "another connection goes on with the generation"));
}

// Cancelling a generation that another node reads would cut off its caller, so all are asked.
void GenerationMachine::onResumeWindowClosed()
{
    if (!m_hooks.askReaders)
        return onReadElsewhere(false);
    m_hooks.askReaders(*m_generation);
    setTimer(ResumeWindow, &GenerationMachine::onResumeWindowClosed);
}

void GenerationMachine::onReadElsewhere(bool isRead)
{
    if (m_state != GenerationState::Detached)
        return;
    if (!isRead)
        cancelAttempt();
    fail(makeError(ErrorCode::Cancelled, "the caller did not come back"));
}

Outcome GenerationMachine::failureOutcome() const
{
    if (m_generation || m_hasRun)
        return Outcome::Failed;
    if (m_fate == AttemptFate::MayRun || m_isUnknownBefore)
        return Outcome::Unknown;
    return Outcome::NotRun;
}

void GenerationMachine::fail(const absl::Status &status, Duration retryAfter)
{
    dropExchange();
    const Outcome outcome = failureOutcome();
    requireInvariant(outcome != Outcome::NotRun || m_nextPosition == 0, Invariant::NotRunIsProven);
    settle();
    m_hooks.fail(status, outcome, retryAfter);
}

void GenerationMachine::settle()
{
    requireInvariant(!isSettled(), Invariant::OneOutcome);
    dropExchange();
    enter(GenerationState::Settled);
    m_timers.cancel(m_deadlineTimer);
    m_deadlineTimer = NoTimer;
    m_buffer.clear();
}

} // namespace currantwalk
