#include "log/keyedtopicfollower.h"

#include <algorithm>
#include <utility>

namespace currantwalk {

// A page that can't be read this many times in a row is taken to stay so.
static constexpr std::uint32_t MaxPageFailures = 4;

std::unique_ptr<KeyedTopicFollower>
KeyedTopicFollower::create(const Options &options, KeyedTopicHooks hooks,
                           KeyedTopicCallbacks events, TimerService &timers, RandomSource &random)
{
    return std::unique_ptr<KeyedTopicFollower>(
            new KeyedTopicFollower(options, std::move(hooks), std::move(events), timers, random));
}

KeyedTopicFollower::KeyedTopicFollower(const Options &options, KeyedTopicHooks hooks,
                                       KeyedTopicCallbacks events, TimerService &timers,
                                       RandomSource &random)
    : m_options(options),
      m_hooks(std::move(hooks)),
      m_events(std::move(events)),
      m_timers(timers),
      m_random(random)
{
}

KeyedTopicFollower::~KeyedTopicFollower()
{
    *m_alive = false;
    m_timers.cancel(m_retryTimer);
    m_timers.cancel(m_restoreTimer);
}

void KeyedTopicFollower::start()
{
    startScan();
}

void KeyedTopicFollower::startScan()
{
    m_isScanComplete = false;
    m_scannedKeys.clear();
    m_after.clear();
    m_readFrom.reset();
    m_renewedSince.reset();
    m_unlisted.clear();
    readPage();
}

// Offsets are given out again after a restore, so what is known of positions is dropped. What is
// known of the keys is kept: the copy may be older than it.
KeyedTopicFollower::Era KeyedTopicFollower::checkEra(const ReadingOrigin &origin)
{
    if (origin.era == m_era || origin.era == 0)
        return Era::Same;
    if (origin.era < m_era)
        return Era::Earlier;
    const std::uint64_t earlier = std::exchange(m_era, origin.era);
    m_eraSeenAt = m_timers.now();
    m_isProofDue = true;
    if (earlier == 0)
        return Era::Same;
    m_isFirstEra = false;
    for (const auto &[key, offset] : m_offsets)
        m_unconfirmed.insert(key);
    m_offsets.clear();
    m_timers.cancel(m_restoreTimer);
    m_restoreTimer = m_timers.scheduleAfter(m_options.restoreGrace, [this] {
        m_restoreTimer = NoTimer;
        expireUnconfirmed();
    });
    if (m_events.onRestored)
        m_events.onRestored(earlier, m_era);
    return Era::Later;
}

// Without a complete reading of the restored topic nothing is known to be missing from it.
void KeyedTopicFollower::expireUnconfirmed()
{
    if (!m_isScanComplete || m_isLost) {
        m_restoreTimer = m_timers.scheduleAfter(m_options.maxRetry, [this] {
            m_restoreTimer = NoTimer;
            expireUnconfirmed();
        });
        return;
    }
    for (const std::string &key : std::exchange(m_unconfirmed, {})) {
        if (m_events.onKeyLost)
            m_events.onKeyLost(key);
    }
}

bool KeyedTopicFollower::isSettledAt(TimePoint when) const
{
    return m_era == 0 || when >= m_eraSeenAt + m_options.restoreGrace
           || (m_isFirstEra && (!m_options.isEraSettled || m_options.isEraSettled(m_era)));
}

// A copy lacks what was written last, so a reading of it proves nothing until the writers have had
// time to write that again.
void KeyedTopicFollower::confirm(TimePoint when, bool isEraSettled)
{
    if (!isEraSettled && !isSettledAt(when))
        return;
    if (m_renewedSince && when < *m_renewedSince + m_options.restoreGrace)
        return;
    removeUnlisted();
    if (m_options.isContentCurrent && !m_options.isContentCurrent())
        return;
    m_isProofDue = false;
    m_events.onUpToDate(when);
}

void KeyedTopicFollower::readPage()
{
    m_sentAt = m_timers.now();
    m_hooks.readNewest(m_after,
                       [this, alive = m_alive, call = ++m_call](absl::StatusOr<KeyedPage> page) {
                           if (*alive && call == m_call)
                               handlePage(page);
                       });
}

void KeyedTopicFollower::handlePage(const absl::StatusOr<KeyedPage> &page)
{
    if (!page.ok()) {
        if (isScanBlocked(page.status()))
            abandonScan(page.status());
        else
            handleFailure(page.status());
        return;
    }
    switch (checkEra(page->origin)) {
    case Era::Earlier:
        handleFailure(makeError(ErrorCode::LogUnavailable, "an answer from before a restore"));
        return;
    case Era::Later:
        startScan();
        return;
    case Era::Same:
        break;
    }
    if (page->origin.sinceOutage && m_events.onPeerOutage)
        m_events.onPeerOutage(*page->origin.sinceOutage, page->origin.outageLength);
    // The tail is read from the first page's end, so that it includes changes made between pages.
    // The scan is as recent as its oldest page.
    if (!m_readFrom) {
        m_readFrom = page->end;
        m_scanProvenAt = TimePoint::max();
        m_isScanEraSettled = true;
    }
    m_isScanEraSettled = m_isScanEraSettled && page->origin.isEraSettled;
    if (!page->origin.provenAfter)
        m_scanProvenAt.reset();
    else if (m_scanProvenAt)
        m_scanProvenAt = std::min(*m_scanProvenAt, m_sentAt + *page->origin.provenAfter);
    const std::size_t scanned = m_scannedKeys.size();
    for (const KeyedRecord &record : page->records) {
        m_scannedKeys[record.key] = record.offset;
        m_after = record.key;
        handleRecord(record);
    }
    if (!page->hasMore)
        finishScan();
    else if (m_scannedKeys.size() > scanned)
        readPage();
    else
        abandonScan(makeError(ErrorCode::JsonInvalid, "a page has no further key"));
}

// An answer that can't be read is the page's fault, unlike a lost or refused one.
bool KeyedTopicFollower::isScanBlocked(const absl::Status &failure) const
{
    const ErrorCode code = errorCode(failure);
    return m_readFrom && m_failures + 1 >= MaxPageFailures
           && (code == ErrorCode::JsonInvalid || code == ErrorCode::TargetProtocolError);
}

void KeyedTopicFollower::abandonScan(const absl::Status &reason)
{
    const absl::Status status =
            makeError(ErrorCode::JsonInvalid, "the keys after \"" + m_after + "\" can't be read: "
                                                      + std::string(reason.message()));
    if (!m_options.areRecordsRenewed) {
        handleFailure(status);
        return;
    }
    if (m_events.onScanIncomplete)
        m_events.onScanIncomplete(m_after, reason);
    for (const auto &[key, offset] : m_offsets) {
        if (m_scannedKeys.find(key) == m_scannedKeys.end())
            m_unlisted.insert(key);
    }
    completeScan();
    m_renewedSince = m_timers.now();
    readTail();
}

void KeyedTopicFollower::removeUnlisted()
{
    for (const std::string &key : std::exchange(m_unlisted, {})) {
        m_offsets.erase(key);
        m_events.onKeyRemoved(key);
    }
    m_renewedSince.reset();
}

void KeyedTopicFollower::finishScan()
{
    std::vector<std::string> missing;
    for (const auto &[key, offset] : m_offsets) {
        if (m_scannedKeys.find(key) == m_scannedKeys.end())
            missing.push_back(key);
    }
    for (const std::string &key : missing) {
        m_offsets.erase(key);
        m_events.onKeyRemoved(key);
    }
    completeScan();
    if (m_scanProvenAt)
        confirm(*m_scanProvenAt, m_isScanEraSettled);
    readTail();
}

void KeyedTopicFollower::completeScan()
{
    m_scannedKeys.clear();
    m_isScanComplete = true;
    handleSuccess();
    if (m_events.onScanned)
        m_events.onScanned();
    if (m_events.onPosition)
        m_events.onPosition(m_era, *m_readFrom);
}

void KeyedTopicFollower::readTail()
{
    m_sentAt = m_timers.now();
    m_hooks.readTail(*m_readFrom, tailWait(),
                     [this, alive = m_alive, call = ++m_call](absl::StatusOr<KeyedTail> tail) {
                         if (*alive && call == m_call)
                             handleTail(tail);
                     });
}

// While the store is unreachable, reads don't wait for records, so that recovery is noticed soon.
// After a restore, a read ends when the writers have had their time, so that the next one proves
// something soon.
Duration KeyedTopicFollower::tailWait()
{
    if (m_isLost)
        return Duration::zero();
    if (!m_isProofDue || m_era == 0)
        return m_options.wait;
    const Duration left = m_eraSeenAt + m_options.restoreGrace - m_timers.now();
    m_isProofDue = left > Duration::zero();
    return std::clamp(left, Duration::zero(), m_options.wait);
}

bool KeyedTopicFollower::isOverdue(Duration slack) const
{
    return m_isScanComplete && !m_isLost && m_timers.now() - m_sentAt > m_options.wait + slack;
}

void KeyedTopicFollower::handleTail(const absl::StatusOr<KeyedTail> &tail)
{
    if (!tail.ok()) {
        if (errorCode(tail.status()) == ErrorCode::LogRecordsExpired)
            startScan();
        else
            handleFailure(tail.status());
        return;
    }
    switch (checkEra(tail->origin)) {
    case Era::Earlier:
        handleFailure(makeError(ErrorCode::LogUnavailable, "an answer from before a restore"));
        return;
    case Era::Later:
        startScan();
        return;
    case Era::Same:
        break;
    }
    handleSuccess();
    if (tail->origin.sinceOutage && m_events.onPeerOutage)
        m_events.onPeerOutage(*tail->origin.sinceOutage, tail->origin.outageLength);
    m_readFrom = tail->next;
    for (const KeyedRecord &record : tail->records)
        handleRecord(record);
    if (m_events.onPosition)
        m_events.onPosition(m_era, *m_readFrom);
    const bool isAtEnd = tail->next >= tail->end;
    if (isAtEnd && tail->origin.provenAfter)
        confirm(m_sentAt + *tail->origin.provenAfter, tail->origin.isEraSettled);
    if (!isAtEnd || tail->records.empty() || m_options.pause == Duration::zero()) {
        readTail();
        return;
    }
    m_retryTimer = m_timers.scheduleAfter(m_options.pause, [this] {
        m_retryTimer = NoTimer;
        readTail();
    });
}

void KeyedTopicFollower::handleRecord(const KeyedRecord &record)
{
    const auto known = m_offsets.find(record.key);
    if (known != m_offsets.end() && known->second >= record.offset)
        return;
    m_unconfirmed.erase(record.key);
    m_unlisted.erase(record.key);
    if (record.value)
        m_offsets[record.key] = record.offset;
    else
        m_offsets.erase(record.key);
    m_events.onRecord(record);
}

// A failed read of the tail is retried from the same offset; a failed scan resumes at the page that
// failed.
void KeyedTopicFollower::handleFailure(const absl::Status &status)
{
    if (!std::exchange(m_isLost, true))
        m_events.onReadFailed(status);
    constexpr std::uint32_t MaxDoublings = 8;
    const Duration bound = std::min(
            m_options.minRetry * (1U << std::min(m_failures++, MaxDoublings)), m_options.maxRetry);
    const Duration delay = bound / 2 + m_random.jitter(bound / 2);
    m_retryTimer = m_timers.scheduleAfter(delay, [this] {
        m_retryTimer = NoTimer;
        resumeReading();
    });
}

void KeyedTopicFollower::resumeReading()
{
    if (m_isScanComplete)
        readTail();
    else
        readPage();
}

void KeyedTopicFollower::retryNow()
{
    if (!m_isLost)
        return;
    m_timers.cancel(std::exchange(m_retryTimer, NoTimer));
    resumeReading();
}

void KeyedTopicFollower::handleSuccess()
{
    m_failures = 0;
    if (!std::exchange(m_isLost, false))
        return;
    // Writers that could not reach the store either renew their records from now on.
    if (m_renewedSince)
        m_renewedSince = m_timers.now();
    m_events.onRecovered();
}

} // namespace currantwalk
