#include "calls/logclaims.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <cstdio>
#include <utility>
#include <vector>

#include "calls/invariant.h"
#include "calls/retrybudget.h"

namespace currantwalk {

// Claims are answered this long before the deadline, so that the caller can still be answered.
static constexpr Duration AnswerMargin = std::chrono::milliseconds(10);

// Claims wait while the log is unavailable, so its recovery must be detected quickly.
static constexpr Duration MaxReadBackoff = std::chrono::seconds(1);

// Two seeds give 128 bits, which makes collisions of keys improbable. The length prefixes delimit
// the parts.
static std::string hashKey(const ClaimRequest &request)
{
    const std::string text = std::to_string(request.organisation.size()) + ":"
                             + request.organisation + std::to_string(request.service.size()) + ":"
                             + request.service + request.key;
    std::array<char, 33> hash{};
    std::snprintf(hash.data(), hash.size(), "%016llx%016llx",
                  static_cast<unsigned long long>(stableHash(text, 0)),
                  static_cast<unsigned long long>(stableHash(text, 1)));
    return hash.data();
}

static std::uint32_t shardOf(const std::string &key, std::uint32_t shards)
{
    return static_cast<std::uint32_t>(stableHash(key) % shards);
}

std::unique_ptr<Claims> Claims::create(const Options &options, LogHooks log, TimerService &timers)
{
    return std::make_unique<LogClaims>(options, std::move(log), timers);
}

LogClaims::LogClaims(const Options &options, LogHooks log, TimerService &timers)
    : m_options(options),
      m_log(std::move(log)),
      m_timers(timers),
      m_random(stableHash(options.vm.text(), options.incarnation)),
      m_self(std::make_shared<LogClaims *>(this))
{
    assert(options.shards > 0 && "claims need at least one stream");
}

LogClaims::~LogClaims()
{
    *m_self = nullptr;
    for (const auto &[number, waiter] : m_waiters) {
        m_timers.cancel(waiter.deadlineTimer);
        m_timers.cancel(waiter.retryTimer);
    }
    for (const auto &[number, outgoing] : m_outgoing)
        m_timers.cancel(outgoing.timer);
    for (const auto &[number, shard] : m_shards)
        m_timers.cancel(shard->pollTimer);
}

void LogClaims::claim(const ClaimRequest &request, Callback callback)
{
    const Number number = addWaiter(request, std::move(callback));
    Waiter &waiter = m_waiters.at(number);
    waiter.claimId = m_options.vm.text() + "." + std::to_string(m_options.incarnation) + "."
                     + std::to_string(number);
    // If the key is known to be claimed, wait for the end of that claim without appending another.
    const ClaimIndex::Entry *entry = shard(waiter.shard).index.find(waiter.key);
    if (!entry || (!entry->holder() && !entry->result))
        append(number, waiter);
    poll(waiter.shard);
}

void LogClaims::lookUp(const ClaimRequest &request, Callback callback)
{
    const Number number = addWaiter(request, std::move(callback));
    Waiter &waiter = m_waiters.at(number);
    shard(waiter.shard).recheckWhenCaughtUp.insert(number);
    poll(waiter.shard);
}

LogClaims::Number LogClaims::addWaiter(const ClaimRequest &request, Callback callback)
{
    const Number number = ++m_lastNumber;
    Waiter &waiter = m_waiters[number];
    waiter.request = request;
    waiter.callback = std::move(callback);
    waiter.key = hashKey(request);
    waiter.shard = shardOf(waiter.key, m_options.shards);
    waiter.startedAt = m_timers.now();
    shard(waiter.shard).waiters[waiter.key].push_back(number);
    waiter.deadlineTimer = m_timers.scheduleAt(request.deadline - AnswerMargin,
                                               [this, number] { onDeadline(number); });
    return number;
}

LogClaims::Shard &LogClaims::shard(std::uint32_t number)
{
    std::unique_ptr<Shard> &shard = m_shards[number];
    if (!shard) {
        shard = std::make_unique<Shard>(m_options.recordLifetime);
        startShard(number, *shard);
    }
    return *shard;
}

void LogClaims::startShard(std::uint32_t number, Shard &shard)
{
    const std::string stream = "claims-" + std::to_string(number);
    Appender::Options appending;
    appending.stream = stream;
    appending.batchDelay = m_options.groupDelay;
    shard.writer = std::make_unique<ClaimWriter>(
            Appender::create(appending, m_log, m_timers, m_random), m_timers);

    StreamReader::Options reading;
    reading.stream = stream;
    reading.pollInterval = m_options.idlePollInterval;
    reading.maxBackoff = MaxReadBackoff;
    StreamReader::Hooks hooks;
    hooks.onRecord = [this, number](const LogRecord &record) { onRecord(number, record); };
    hooks.onGap = [this, number](const StreamGap &) { onGap(number); };
    hooks.onCaughtUp = [this, number](TimePoint asOf) { onCaughtUp(number, asOf); };
    hooks.onFailure = [&shard](const absl::Status &status) { shard.lastFailure = status; };
    shard.reader = StreamReader::create(reading, std::move(hooks), m_log, m_timers, m_random);
    shard.reader->start();
}

// While the log is unavailable, the reader retries with its own backoff.
void LogClaims::poll(std::uint32_t number)
{
    Shard &polled = shard(number);
    if (polled.reader->isHealthy())
        polled.reader->poll();
    if (polled.pollTimer != NoTimer)
        return;
    polled.pollTimer = m_timers.scheduleAfter(m_options.activePollInterval, [this, number] {
        shard(number).pollTimer = NoTimer;
        if (!shard(number).waiters.empty())
            poll(number);
    });
}

void LogClaims::onRecord(std::uint32_t shardNumber, const LogRecord &record)
{
    const absl::StatusOr<ClaimRecord> decoded = decodeClaimRecord(record.data);
    if (!decoded.ok()) {
        ++m_counts.recordsSkipped;
        return;
    }
    Shard &read = shard(shardNumber);
    read.index.apply(*decoded, record.offset, m_timers.now());
    const auto it = read.waiters.find(decoded->key);
    if (it != read.waiters.end())
        evaluateAll(it->second);
}

// Records that the log has expired count on no node. The index is rebuilt from the remaining ones.
void LogClaims::onGap(std::uint32_t shardNumber)
{
    Shard &reset = shard(shardNumber);
    if (reset.index.size() > 0)
        ++m_counts.recordsSkipped;
    reset.index.clear();
    reset.caughtUpAt.reset();
}

void LogClaims::onCaughtUp(std::uint32_t shardNumber, TimePoint asOf)
{
    Shard &read = shard(shardNumber);
    read.index.expire(m_timers.now());
    read.caughtUpAt = asOf;
    read.lastFailure = absl::OkStatus();
    evaluateAll(
            std::vector<Number>(read.recheckWhenCaughtUp.begin(), read.recheckWhenCaughtUp.end()));
}

// Takes a copy of the numbers, because answering adds and removes waiters.
void LogClaims::evaluateAll(std::vector<Number> numbers)
{
    for (const Number number : numbers)
        evaluate(number);
}

// All appends of a claim carry the same claim id, so the first that takes effect counts.
void LogClaims::append(Number number, Waiter &waiter)
{
    waiter.append = AppendState::InFlight;
    waiter.tries += 1;
    if (waiter.tries > 1)
        ++m_counts.appendRetries;
    ClaimRecord record;
    record.kind = ClaimRecordKind::Claim;
    record.key = waiter.key;
    record.claimId = waiter.claimId;
    record.fingerprint = waiter.request.fingerprint;
    shard(waiter.shard)
            .writer->append(encodeClaimRecord(record), ClaimWriter::Urgency::Immediate,
                            [this, number](const absl::StatusOr<LogOffset> &offset) {
                                onAppended(number, offset);
                            });
}

void LogClaims::onAppended(Number number, const absl::StatusOr<LogOffset> &offset)
{
    const auto it = m_waiters.find(number);
    if (it == m_waiters.end())
        return;
    Waiter &waiter = it->second;
    if (offset.ok()) {
        waiter.mayHaveTakenEffect = true;
        return poll(waiter.shard);
    }
    shard(waiter.shard).lastFailure = offset.status();
    const ErrorCode code = errorCode(offset.status());
    const bool isProvenAbsent = code == ErrorCode::LogUnavailable || code == ErrorCode::Overloaded;
    waiter.mayHaveTakenEffect = waiter.mayHaveTakenEffect || !isProvenAbsent;
    waiter.append = waiter.mayHaveTakenEffect ? AppendState::Uncertain : AppendState::None;
    waiter.retryTimer = m_timers.scheduleAfter(retryDelay(waiter.tries, m_random), [this, number] {
        m_waiters.at(number).retryTimer = NoTimer;
        evaluate(number);
    });
    poll(waiter.shard);
}

void LogClaims::evaluate(Number number)
{
    const auto it = m_waiters.find(number);
    if (it == m_waiters.end() || it->second.isFetching)
        return;
    Waiter &waiter = it->second;
    const ClaimIndex::Entry *entry = shard(waiter.shard).index.find(waiter.key);
    const bool isLookUp = waiter.claimId.empty();
    if (entry && entry->result
        && (isLookUp || entry->result->fingerprint == waiter.request.fingerprint))
        return fetchResult(number, waiter, entry->result->offset);
    if (const std::optional<ClaimAnswer> found = verdict(waiter, entry))
        return answer(number, *found);
    const bool isClaimed = entry && entry->holder();
    const bool isAppending = waiter.append == AppendState::InFlight || waiter.retryTimer != NoTimer;
    if (!isLookUp && !isClaimed && !isAppending)
        append(number, waiter);
}

// Returns nothing while the claim is undecided.
std::optional<ClaimAnswer> LogClaims::verdict(const Waiter &waiter, const ClaimIndex::Entry *entry)
{
    const ClaimIndex::Claim *holder = entry ? entry->holder() : nullptr;
    if (waiter.claimId.empty())
        return lookUpVerdict(waiter, holder);
    ClaimAnswer answer;
    const bool isConflict = (holder && holder->fingerprint != waiter.request.fingerprint)
                            || (entry && entry->result);
    if (isConflict) {
        answer.verdict = ClaimVerdict::Conflict;
        answer.status = makeError(ErrorCode::IdempotencyKeyConflict,
                                  "the idempotency key was used for another request");
        return answer;
    }
    if (!holder)
        return std::nullopt;
    if (holder->id == waiter.claimId) {
        answer.verdict = ClaimVerdict::Won;
        return answer;
    }
    if (!holder->isOutcomeUnknown)
        return std::nullopt;
    answer.verdict = ClaimVerdict::Unknown;
    answer.status = makeError(ErrorCode::OutcomeUnknown, "an earlier submission may have run");
    return answer;
}

std::optional<ClaimAnswer> LogClaims::lookUpVerdict(const Waiter &waiter,
                                                    const ClaimIndex::Claim *holder)
{
    if (!isCaughtUp(waiter))
        return std::nullopt;
    ClaimAnswer answer;
    answer.verdict = holder ? ClaimVerdict::Unknown : ClaimVerdict::NotClaimed;
    answer.status = holder ? makeError(ErrorCode::OutcomeUnknown,
                                       "the key is claimed and has no result yet")
                           : makeError(ErrorCode::NotFound, "the key is not claimed");
    return answer;
}

bool LogClaims::isCaughtUp(const Waiter &waiter)
{
    const std::optional<TimePoint> caughtUpAt = shard(waiter.shard).caughtUpAt;
    return caughtUpAt && *caughtUpAt >= waiter.startedAt;
}

bool LogClaims::isUnclaimedByOthers(const Waiter &waiter)
{
    const ClaimIndex::Entry *entry = shard(waiter.shard).index.find(waiter.key);
    if (!entry)
        return true;
    return !entry->result
           && std::none_of(entry->claims.begin(), entry->claims.end(),
                           [&waiter](const ClaimIndex::Claim &claim) {
                               return !claim.isWithdrawn && claim.id != waiter.claimId;
                           });
}

// The index stores only the offsets of results, because the bodies would take too much memory.
void LogClaims::fetchResult(Number number, Waiter &waiter, LogOffset offset)
{
    waiter.isFetching = true;
    m_log.read("claims-" + std::to_string(waiter.shard), offset, 1,
               [self = m_self, number](const absl::StatusOr<LogPage> &page) {
                   if (*self)
                       (*self)->onResult(number, page);
               });
}

void LogClaims::onResult(Number number, const absl::StatusOr<LogPage> &page)
{
    const auto it = m_waiters.find(number);
    if (it == m_waiters.end())
        return;
    Waiter &waiter = it->second;
    waiter.isFetching = false;
    if (!page.ok() || page->records.empty()) {
        shard(waiter.shard).recheckWhenCaughtUp.insert(number);
        return poll(waiter.shard);
    }
    const absl::StatusOr<ClaimRecord> record = decodeClaimRecord(page->records.front().data);
    ClaimAnswer found;
    found.verdict = ClaimVerdict::Done;
    if (record.ok())
        found.result = record->response;
    answer(number, std::move(found));
}

void LogClaims::onDeadline(Number number)
{
    const auto it = m_waiters.find(number);
    assert(it != m_waiters.end() && "an answered claim has no timer");
    it->second.deadlineTimer = NoTimer;
    answer(number, answerAtDeadline(it->second));
}

// The request is not sent under this claim after the deadline, even if the claim's record takes
// effect later, so this submission has not run. NotClaimed also requires that no other submission
// of the key may have run: the stream must have been read to its end since this claim started, and
// hold no claim or result of another submission.
ClaimAnswer LogClaims::answerAtDeadline(const Waiter &waiter)
{
    ClaimAnswer answer;
    const absl::Status &failure = shard(waiter.shard).lastFailure;
    const bool isProven = isCaughtUp(waiter) && isUnclaimedByOthers(waiter);
    answer.verdict = isProven ? ClaimVerdict::NotClaimed : ClaimVerdict::Unknown;
    if (!failure.ok())
        answer.status = failure;
    else
        answer.status =
                makeError(isProven ? ErrorCode::DeadlineExceeded : ErrorCode::OutcomeUnknown,
                          "the claim was not decided by the deadline");
    return answer;
}

void LogClaims::answer(Number number, ClaimAnswer answer)
{
    const auto it = m_waiters.find(number);
    const Waiter waiter = std::move(it->second);
    m_timers.cancel(waiter.deadlineTimer);
    m_timers.cancel(waiter.retryTimer);
    m_waiters.erase(it);
    removeWaiter(number, waiter);
    count(answer.verdict);
    const bool isWon = answer.verdict == ClaimVerdict::Won;
    if (isWon) {
        m_won[waiter.key] = WonClaim{waiter.claimId, m_timers.now() + waiter.request.keyWindow};
    } else if (waiter.append != AppendState::None && answer.verdict != ClaimVerdict::Done) {
        // Withdraw the claim; otherwise it would block the key once the earlier claims are gone.
        ClaimRecord record;
        record.kind = ClaimRecordKind::Withdrawn;
        record.key = waiter.key;
        record.claimId = waiter.claimId;
        enqueue(waiter.shard, record, waiter.request.keyWindow);
    }
    waiter.callback(answer);
}

void LogClaims::removeWaiter(Number number, const Waiter &waiter)
{
    Shard &left = shard(waiter.shard);
    left.recheckWhenCaughtUp.erase(number);
    const auto it = left.waiters.find(waiter.key);
    std::erase(it->second, number);
    if (it->second.empty())
        left.waiters.erase(it);
}

void LogClaims::count(ClaimVerdict verdict)
{
    switch (verdict) {
    case ClaimVerdict::Won:
        ++m_counts.won;
        return;
    case ClaimVerdict::Done:
        ++m_counts.done;
        return;
    case ClaimVerdict::Unknown:
        ++m_counts.unknown;
        return;
    case ClaimVerdict::Conflict:
        ++m_counts.conflict;
        return;
    case ClaimVerdict::NotClaimed:
        ++m_counts.notClaimed;
        return;
    }
}

void LogClaims::recordResult(const ClaimRequest &request, const PlainResponse &response)
{
    ClaimRecord record;
    record.kind = ClaimRecordKind::Result;
    record.response = response;
    recordOutcome(request, std::move(record));
}

void LogClaims::recordNotRun(const ClaimRequest &request, const absl::Status &)
{
    ClaimRecord record;
    record.kind = ClaimRecordKind::Withdrawn;
    recordOutcome(request, std::move(record));
}

void LogClaims::recordUnknown(const ClaimRequest &request)
{
    ClaimRecord record;
    record.kind = ClaimRecordKind::OutcomeUnknown;
    recordOutcome(request, std::move(record));
}

void LogClaims::recordOutcome(const ClaimRequest &request, ClaimRecord record)
{
    record.key = hashKey(request);
    record.fingerprint = request.fingerprint;
    const auto it = m_won.find(record.key);
    if (it == m_won.end())
        return;
    record.claimId = it->second.claimId;
    m_won.erase(it);
    std::erase_if(m_won,
                  [now = m_timers.now()](const auto &row) { return row.second.expiresAt <= now; });
    enqueue(shardOf(record.key, m_options.shards), record, request.keyWindow);
}

void LogClaims::enqueue(std::uint32_t shardNumber, const ClaimRecord &record, Duration window)
{
    const Number number = ++m_lastNumber;
    OutgoingRecord &outgoing = m_outgoing[number];
    outgoing.shard = shardNumber;
    outgoing.record = encodeClaimRecord(record);
    outgoing.giveUpAt = m_timers.now() + window;
    appendOutgoing(number);
}

void LogClaims::appendOutgoing(Number number)
{
    OutgoingRecord &outgoing = m_outgoing.at(number);
    ++outgoing.tries;
    shard(outgoing.shard)
            .writer->append(outgoing.record, ClaimWriter::Urgency::Deferred,
                            [this, number](const absl::StatusOr<LogOffset> &offset) {
                                onOutgoingAppended(number, offset);
                            });
}

// Appending the end of a claim twice is harmless, so a lost answer is retried.
void LogClaims::onOutgoingAppended(Number number, const absl::StatusOr<LogOffset> &offset)
{
    const auto it = m_outgoing.find(number);
    assert(it != m_outgoing.end() && "each append of an end is answered once");
    OutgoingRecord &outgoing = it->second;
    if (offset.ok() || m_timers.now() >= outgoing.giveUpAt) {
        m_outgoing.erase(it);
        return;
    }
    outgoing.timer = m_timers.scheduleAfter(retryDelay(outgoing.tries, m_random),
                                            [this, number] { appendOutgoing(number); });
}

} // namespace currantwalk
