#include "calls/plainmachine.h"

#include <algorithm>

#include "calls/retrybudget.h"

namespace currantwalk {

// How many times a target is asked what became of a request.
static constexpr std::uint32_t MaxLookUps = 8;

static bool isWorthRetrying(int httpStatus)
{
    return httpStatus == 429 || httpStatus == 502 || httpStatus == 503 || httpStatus == 504;
}

// A response counts as the answer unless the request is idempotent: a status says that the target
// failed, not that it had no effect.
bool PlainMachine::retryResponse(const PlainResponse &response)
{
    if (!m_request.isIdempotent || !isWorthRetrying(response.status) || m_isCallerGone)
        return false;
    const Duration delay = std::max(response.retryAfter, retryDelay(m_retries + 1, m_random));
    if (m_timers.now() + delay >= m_request.deadline || !m_hooks.takeRetry())
        return false;
    ++m_retries;
    // A target that names a time is waited for; the others stand in for one that does not.
    if (response.retryAfter == Duration(0))
        m_excluded.push_back(m_target);
    enter(PlainState::Waiting);
    setTimer(delay, &PlainMachine::place);
    return true;
}

void PlainMachine::onSendProvenUnrun(const absl::Status &status)
{
    --m_sendsInDoubt;
    if (m_isCallerGone)
        return fail(status);
    // Under an earlier send in doubt only that send's target can tell a repeat.
    if (!m_request.isIdempotent && mayHaveRun())
        return waitToLookUp();
    retryElsewhere(status, m_retries == 0 ? Duration(0) : retryDelay(m_retries, m_random));
}

void PlainMachine::onSendInDoubt(const absl::Status &status)
{
    m_doubt = makeError(ErrorCode::OutcomeUnknown, std::string(status.message()));
    if (m_request.isIdempotent)
        return retryElsewhere(status, retryDelay(m_retries + 1, m_random));
    if (canAskTarget())
        return waitToLookUp();
    fail(status);
}

void PlainMachine::retryElsewhere(const absl::Status &status, Duration delay)
{
    if (m_timers.now() + delay >= m_request.deadline || !m_hooks.takeRetry())
        return fail(status);
    ++m_retries;
    m_excluded.push_back(m_target);
    enter(PlainState::Waiting);
    setTimer(delay, &PlainMachine::place);
}

void PlainMachine::waitToLookUp()
{
    if (m_lookUps >= MaxLookUps)
        return fail(*m_doubt);
    ++m_lookUps;
    enter(PlainState::Waiting);
    setTimer(retryDelay(m_lookUps, m_random), &PlainMachine::lookUp);
}

void PlainMachine::lookUp()
{
    enter(PlainState::LookingUp);
    m_hooks.lookUpKey(beginExchange(), m_target);
}

// That the target has not run it yet is no proof that it never will: the lost send may still be on
// its way. Sending it once more is safe, for the target runs a key once.
void PlainMachine::onKeyLookup(std::uint64_t exchange,
                               absl::StatusOr<std::optional<PlainResponse>> response)
{
    if (!isCurrent(exchange))
        return;
    m_exchange = 0;
    if (!response.ok())
        return waitToLookUp();
    if (*response)
        return finish(**response);
    if (m_isCallerGone || !m_hooks.takeRetry())
        return fail(*m_doubt);
    enter(PlainState::Waiting);
    setTimer(retryDelay(m_lookUps, m_random), &PlainMachine::send);
}

} // namespace currantwalk
