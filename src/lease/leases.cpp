#include "lease/leases.h"

#include <algorithm>
#include <cassert>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "lease/leaserecord.h"
#include "lease/leasetable.h"
#include "log/streamreader.h"

namespace currantwalk {

// Renewals sent per lease duration, so that one or two of them may be lost.
static constexpr int RenewalsPerLease = 3;

namespace {

class LogLeases : public Leases
{
public:
    LogLeases(const Options &options, Hooks hooks, TimerService &timers, RandomSource &random)
        : m_options(options),
          m_hooks(std::move(hooks)),
          m_timers(timers),
          m_random(random),
          m_owner(options.vm.text() + "#" + std::to_string(options.incarnation) + "#"
                  + std::to_string(random.next64())),
          m_self(std::make_shared<LogLeases *>(this))
    {
        assert(options.margin < options.duration && "the lease outlasts its margin");
    }

    ~LogLeases() override
    {
        *m_self = nullptr;
        for (const auto &[name, duty] : m_duties)
            m_timers.cancel(duty.expiryTimer);
        m_timers.cancel(m_answerTimer);
    }

    // Reading starts at the end of the stream; a table gives more information than older records.
    void start() override
    {
        StreamReader::Options options;
        options.stream = StreamName;
        options.from = 0;
        options.pollInterval = m_options.pollInterval;
        StreamReader::Hooks hooks;
        hooks.onRecord = [this](const LogRecord &record) { onRecord(record); };
        hooks.onGap = [this](const StreamGap &gap) { onGap(gap); };
        hooks.onCaughtUp = [this](TimePoint asOf) { onCaughtUp(asOf); };
        m_reader = StreamReader::create(options, std::move(hooks), m_hooks.log, m_timers, m_random);
        m_reader->start();
    }

    void acquire(const std::string &duty) override
    {
        m_duties[duty].isRequested = true;
        if (m_reader)
            m_reader->poll();
    }

    void release(const std::string &name) override
    {
        const auto it = m_duties.find(name);
        if (it == m_duties.end())
            return;
        Duty &duty = it->second;
        duty.isRequested = false;
        duty.isHeld = false;
        duty.nextTakeAt.reset();
        m_timers.cancel(duty.expiryTimer);
        duty.expiryTimer = NoTimer;
        if (isHolder(name))
            sendRelease(name, duty);
        flush();
    }

    std::optional<Lease> heldLease(const std::string &name) const override
    {
        const auto it = m_duties.find(name);
        if (it == m_duties.end() || !it->second.isHeld || m_timers.now() >= it->second.validUntil)
            return std::nullopt;
        assert(isHolder(name) && "a held lease is recorded in the log");
        return Lease{name, m_options.vm, m_table.state(name).fence};
    }

    std::optional<Lease> currentLease(const std::string &name) const override
    {
        const DutyState &state = m_table.state(name);
        if (!state.isTaken())
            return std::nullopt;
        return Lease{name, state.vm, state.fence};
    }

private:
    /// This node's own state for a duty.
    struct Duty
    {
        bool isRequested = false;
        bool isHeld = false;    // onTaken was called, and onLost not since.
        TimePoint validUntil{}; // From this node's latest valid record, minus the margin.
        TimerId expiryTimer = NoTimer;
        std::optional<TimePoint> renewSentAt;   // When the last renewal was sent.
        std::optional<TimePoint> releaseSentAt; // When the last release was sent.
        LogOffset releaseSentFence = 0;      // Not held again: its release may still be in flight.
        std::optional<TimePoint> nextTakeAt; // When to send a take, unless the state changes.
        LogOffset nextTakeSeen = 0;          // Last valid record when the take was scheduled.
        std::optional<TimePoint> takeSentAt; // When the last take was sent.
        LogOffset takeSentSeen = 0;          // Last valid record when it was sent.
    };

    bool isHolder(const std::string &name) const
    {
        const DutyState &state = m_table.state(name);
        return state.isTaken() && state.owner == m_owner;
    }

    bool isReleaseSent(const std::string &name, const Duty &duty) const
    {
        return duty.releaseSentFence == m_table.state(name).fence;
    }

    void onRecord(const LogRecord &record)
    {
        const absl::StatusOr<LeaseRecord> decoded = decodeLeaseRecord(record.data);
        if (!decoded.ok())
            return;
        const bool isValid = m_table.apply(record.offset, *decoded, m_timers.now());
        const auto sent = m_sent.extract(decoded->id);
        if (decoded->kind == LeaseRecordKind::TableRequest)
            scheduleAnswer();
        if (decoded->kind == LeaseRecordKind::Table)
            cancelAnswer();
        if (!isValid)
            return;
        if (decoded->kind == LeaseRecordKind::Reset)
            loseAllLeases();
        const auto it = m_duties.find(decoded->duty);
        if (it == m_duties.end())
            return;
        if (!isHolder(decoded->duty))
            loseLease(decoded->duty, it->second);
        else if (!sent.empty())
            confirmLease(decoded->duty, it->second, sent.mapped());
    }

    // All nodes read a table request at about the same time; random delays let the first table make
    // the other answers unnecessary.
    void scheduleAnswer()
    {
        if (!m_table.isKnown() || m_answerTimer != NoTimer)
            return;
        m_answerTimer = m_timers.scheduleAfter(m_random.jitter(m_options.pollInterval), [this] {
            m_answerTimer = NoTimer;
            answer();
        });
    }

    void cancelAnswer()
    {
        m_timers.cancel(m_answerTimer);
        m_answerTimer = NoTimer;
    }

    void answer()
    {
        if (!m_table.isKnown())
            return;
        LeaseRecord record = newRecord(LeaseRecordKind::Table);
        record.asOf = m_reader->next();
        record.duties = m_table.duties();
        m_outbox.push_back(encodeLeaseRecord(record));
        flush();
    }

    // The holder counts the lease from when it sent the record; other nodes count from when they
    // read it, which is later.
    void confirmLease(const std::string &name, Duty &duty, TimePoint sentAt)
    {
        const TimePoint until = sentAt + m_options.duration - m_options.margin;
        duty.validUntil = std::max(duty.validUntil, until);
        const bool isReleasing = !duty.isRequested || isReleaseSent(name, duty);
        if (isReleasing || m_timers.now() >= duty.validUntil)
            return;
        m_timers.cancel(duty.expiryTimer);
        duty.expiryTimer = m_timers.scheduleAt(duty.validUntil, [this, name] {
            m_duties.at(name).expiryTimer = NoTimer;
            loseLease(name, m_duties.at(name));
        });
        if (duty.isHeld)
            return;
        duty.isHeld = true;
        if (m_hooks.onTaken)
            m_hooks.onTaken(Lease{name, m_options.vm, m_table.state(name).fence});
    }

    void loseLease(const std::string &name, Duty &duty)
    {
        m_timers.cancel(duty.expiryTimer);
        duty.expiryTimer = NoTimer;
        if (!std::exchange(duty.isHeld, false))
            return;
        if (m_hooks.onLost)
            m_hooks.onLost(name);
    }

    void loseAllLeases()
    {
        for (auto &[name, duty] : m_duties) {
            loseLease(name, duty);
            duty.validUntil = TimePoint();
        }
    }

    // Who took what within the gap is not known, so nothing is held until it is.
    void onGap(const StreamGap &gap)
    {
        loseAllLeases();
        cancelAnswer();
        m_table.onGap(gap.oldest);
        m_nextRequestAt = m_timers.now() + m_random.jitter(m_options.pollInterval);
    }

    void onCaughtUp(TimePoint asOf)
    {
        eraseOldRecords();
        if (m_table.isKnown()) {
            for (auto &[name, duty] : m_duties)
                maintain(name, duty, asOf);
        } else {
            recoverState(asOf);
        }
        flush();
    }

    // If no node answers a table request or renews a lease for one lease duration, no lease is
    // held.
    void recoverState(TimePoint asOf)
    {
        const TimePoint now = m_timers.now();
        if (m_table.openTableRequest() == 0) {
            if (now < m_nextRequestAt)
                return;
            m_nextRequestAt =
                    now + m_options.duration / 2 + m_random.jitter(m_options.duration / 2);
            m_outbox.push_back(encodeLeaseRecord(newRecord(LeaseRecordKind::TableRequest)));
            return;
        }
        const bool isUnanswered = asOf - m_table.openTableRequestReadAt() >= m_options.duration;
        if (!isUnanswered || !isOlderThan(m_resetSentAt, now - m_options.duration))
            return;
        m_resetSentAt = now;
        LeaseRecord record = newRecord(LeaseRecordKind::Reset);
        record.seen = m_table.openTableRequest();
        m_outbox.push_back(encodeLeaseRecord(record));
    }

    void maintain(const std::string &name, Duty &duty, TimePoint asOf)
    {
        if (isHolder(name)) {
            duty.nextTakeAt.reset();
            const bool isReleasing = !duty.isRequested || isReleaseSent(name, duty);
            isReleasing ? releaseIfDue(name, duty) : renewIfDue(name, duty);
            return;
        }
        if (duty.isRequested)
            takeIfDue(name, duty, asOf);
    }

    static bool isOlderThan(const std::optional<TimePoint> &when, TimePoint limit)
    {
        return !when || *when <= limit;
    }

    // Also sent if the lease has expired for this node but no other node has taken it.
    void renewIfDue(const std::string &name, Duty &duty)
    {
        const Duration interval = (m_options.duration - m_options.margin) / RenewalsPerLease;
        if (!isOlderThan(duty.renewSentAt, m_timers.now() - interval))
            return;
        duty.renewSentAt = m_timers.now();
        send(name, LeaseRecordKind::Renew);
    }

    void releaseIfDue(const std::string &name, Duty &duty)
    {
        if (isOlderThan(duty.releaseSentAt, m_timers.now() - m_options.duration / 2))
            sendRelease(name, duty);
    }

    void sendRelease(const std::string &name, Duty &duty)
    {
        duty.releaseSentAt = m_timers.now();
        duty.releaseSentFence = m_table.state(name).fence;
        send(name, LeaseRecordKind::Release);
    }

    // A missing renewal counts only up to the last time the stream was read to its end, measured by
    // this node's own clock.
    bool canTake(const DutyState &state, TimePoint asOf) const
    {
        if (!state.isTaken())
            return true;
        const Duration watched = asOf - state.readAt;
        if (m_hooks.mayTakeOver)
            return m_hooks.mayTakeOver(watched, m_options.duration);
        return watched >= m_options.duration;
    }

    // All candidates see a duty become free at about the same time. Random delays let most of them
    // read the first take before they would send their own.
    void takeIfDue(const std::string &name, Duty &duty, TimePoint asOf)
    {
        const DutyState &state = m_table.state(name);
        if (!canTake(state, asOf)) {
            duty.nextTakeAt.reset();
            return;
        }
        const TimePoint now = m_timers.now();
        if (!duty.nextTakeAt || duty.nextTakeSeen != state.last) {
            const bool isFree = !state.isTaken();
            duty.nextTakeAt =
                    now + m_random.jitter(isFree ? m_options.pollInterval : m_options.duration / 2);
            duty.nextTakeSeen = state.last;
        }
        const bool isInFlight = duty.takeSentSeen == state.last
                                && !isOlderThan(duty.takeSentAt, now - m_options.duration);
        if (now < *duty.nextTakeAt || isInFlight)
            return;
        duty.nextTakeAt.reset();
        duty.takeSentAt = now;
        duty.takeSentSeen = state.last;
        send(name, LeaseRecordKind::Take);
    }

    LeaseRecord newRecord(LeaseRecordKind kind)
    {
        LeaseRecord record;
        record.kind = kind;
        record.id = m_owner + "#" + std::to_string(++m_lastRecord);
        record.vm = m_options.vm;
        record.owner = m_owner;
        return record;
    }

    void send(const std::string &name, LeaseRecordKind kind)
    {
        const DutyState &state = m_table.state(name);
        LeaseRecord record = newRecord(kind);
        record.duty = name;
        record.fence = state.fence;
        record.seen = state.last;
        m_sent.emplace(record.id, m_timers.now());
        m_outbox.push_back(encodeLeaseRecord(record));
    }

    // Whether a record was appended and is valid is determined only by reading the stream.
    void flush()
    {
        if (m_outbox.empty())
            return;
        m_hooks.log.append(StreamName, std::exchange(m_outbox, {}),
                           [self = m_self](const absl::StatusOr<std::vector<LogOffset>> &answer) {
                               if (*self && answer.ok() && (*self)->m_reader)
                                   (*self)->m_reader->poll();
                           });
    }

    // A record that appears later than this can't extend a lease any more.
    void eraseOldRecords()
    {
        const TimePoint limit = m_timers.now() - m_options.duration;
        std::erase_if(m_sent, [limit](const auto &sent) { return sent.second < limit; });
    }

    const Options m_options;
    const Hooks m_hooks;
    TimerService &m_timers;
    RandomSource &m_random;
    const std::string m_owner;
    LeaseTable m_table;
    std::map<std::string, Duty> m_duties;    // Duties requested on this node at any time.
    std::map<std::string, TimePoint> m_sent; // When each record of this node was sent, by id.
    std::vector<std::string> m_outbox;
    std::uint64_t m_lastRecord = 0;
    TimerId m_answerTimer = NoTimer;        // Delay before answering a table request.
    TimePoint m_nextRequestAt{};            // Next table request while the state is unknown.
    std::optional<TimePoint> m_resetSentAt; // When the last reset was sent.
    std::unique_ptr<StreamReader> m_reader;
    std::shared_ptr<LogLeases *> m_self; // Set to null on destruction, for pending callbacks.
};

} // namespace

std::unique_ptr<Leases> Leases::create(const Options &options, Hooks hooks, TimerService &timers,
                                       RandomSource &random)
{
    return std::make_unique<LogLeases>(options, std::move(hooks), timers, random);
}

} // namespace currantwalk
