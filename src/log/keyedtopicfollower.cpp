#include "log/keyedtopicfollower.h"

#include <algorithm>

namespace currantwalk {

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
    m_scanStartedAt = m_timers.now();
    readPage();
}

void KeyedTopicFollower::readPage()
{
    m_hooks.readNewest(m_after,
                       [this, alive = m_alive, call = ++m_call](absl::StatusOr<KeyedPage> page) {
                           if (*alive && call == m_call)
                               handlePage(page);
                       });
}

void KeyedTopicFollower::handlePage(const absl::StatusOr<KeyedPage> &page)
{
    if (!page.ok()) {
        handleFailure(page.status());
        return;
    }
    // The tail is read from the first page's end, so that it includes changes made between pages.
    if (!m_readFrom)
        m_readFrom = page->end;
    for (const KeyedRecord &record : page->records) {
        m_scannedKeys[record.key] = record.offset;
        m_after = record.key;
        handleRecord(record);
    }
    if (page->hasMore && !page->records.empty())
        readPage();
    else
        finishScan();
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
    m_scannedKeys.clear();
    m_isScanComplete = true;
    handleSuccess();
    m_events.onUpToDate(m_scanStartedAt);
    readTail();
}

void KeyedTopicFollower::readTail()
{
    m_sentAt = m_timers.now();
    // While the store is unreachable, reads don't wait for records, so that recovery is noticed
    // soon.
    const Duration wait = m_isLost ? Duration::zero() : m_options.wait;
    m_hooks.readTail(*m_readFrom, wait,
                     [this, alive = m_alive, call = ++m_call](absl::StatusOr<KeyedTail> tail) {
                         if (*alive && call == m_call)
                             handleTail(tail);
                     });
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
    handleSuccess();
    m_readFrom = tail->next;
    for (const KeyedRecord &record : tail->records)
        handleRecord(record);
    if (tail->next >= tail->end)
        m_events.onUpToDate(m_sentAt);
    readTail();
}

void KeyedTopicFollower::handleRecord(const KeyedRecord &record)
{
    const auto known = m_offsets.find(record.key);
    if (known != m_offsets.end() && known->second >= record.offset)
        return;
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
    if (std::exchange(m_isLost, false))
        m_events.onRecovered();
}

} // namespace currantwalk
