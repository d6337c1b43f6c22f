#include "calls/plainmachine.h"

#include <algorithm>

#include "calls/retrybudget.h"

namespace currantwalk {

// Maximum number of key lookups at the target for one request.
static constexpr std::uint32_t MaxLookUps = 8;

static bool isRetryableStatus(int httpStatus)
{
    return httpStatus == 429 || httpStatus == 502 || httpStatus == 503 || httpStatus == 504;
}

// Retries only idempotent requests: an error status says that the target failed, not that the
// request had no effect. Any response to a non-idempotent request is therefore final.
bool PlainMachine::retryResponse(const PlainResponse &response)
{
    if (!m_request.isIdempotent || !isRetryableStatus(response.status) || m_isCallerGone)
        return false;
    const Duration delay = std::max(response.retryAfter, retryDelay(m_retries + 1, m_random));
    if (m_timers.now() + delay >= m_request.deadline || !m_hooks.takeRetry())
        return false;
    ++m_retries;
    // A target that sent Retry-After may be chosen again after that delay; other targets are
    // preferred to one that did not.
    if (response.retryAfter == Duration(0))
        m_excluded.push_back(m_target);
    transitionTo(PlainState::Waiting);
    setTimer(delay, &PlainMachine::place);
    return true;
}

void PlainMachine::onSendNotExecuted(const absl::Status &status)
{
    --m_unresolvedSends;
    if (m_isCallerGone)
        return fail(status);
    // If an earlier send is unresolved, only the target of that send can recognise a duplicate.
    if (!m_request.isIdempotent && mayHaveRun())
        return scheduleLookUp();
    retryElsewhere(status, m_retries == 0 ? Duration(0) : retryDelay(m_retries, m_random));
}

void PlainMachine::onSendOutcomeUnknown(const absl::Status &status)
{
    m_unknownOutcomeStatus = makeError(ErrorCode::OutcomeUnknown, std::string(status.message()));
    if (m_request.isIdempotent)
        return retryElsewhere(status, retryDelay(m_retries + 1, m_random));
    if (canLookUpKey())
        return scheduleLookUp();
    fail(status);
}

void PlainMachine::retryElsewhere(const absl::Status &status, Duration delay)
{
    if (m_timers.now() + delay >= m_request.deadline || !m_hooks.takeRetry())
        return fail(status);
    ++m_retries;
    m_excluded.push_back(m_target);
    transitionTo(PlainState::Waiting);
    setTimer(delay, &PlainMachine::place);
}

void PlainMachine::scheduleLookUp()
{
    if (m_lookUps >= MaxLookUps)
        return fail(*m_unknownOutcomeStatus);
    ++m_lookUps;
    transitionTo(PlainState::Waiting);
    setTimer(retryDelay(m_lookUps, m_random), &PlainMachine::lookUp);
}

void PlainMachine::lookUp()
{
    transitionTo(PlainState::LookingUp);
    m_hooks.lookUpKey(beginExchange(), m_target);
}

// That the target has no result yet does not prove that it never will: the lost send may still be
// in transit. Sending the request again is safe because the target runs each key only once.
void PlainMachine::onKeyLookup(std::uint64_t exchange,
                               absl::StatusOr<std::optional<PlainResponse>> response)
{
    if (!isCurrent(exchange))
        return;
    m_exchange = 0;
    if (!response.ok())
        return scheduleLookUp();
    if (*response)
        return finish(**response);
    if (m_isCallerGone || !m_hooks.takeRetry())
        return fail(*m_unknownOutcomeStatus);
    transitionTo(PlainState::Waiting);
    setTimer(retryDelay(m_lookUps, m_random), &PlainMachine::send);
}

} // namespace currantwalk
