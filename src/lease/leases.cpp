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

// Renewals in the time that a renewal holds for: one or two may be lost.
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
        assert(options.margin < options.duration && "a lease holds for a while");
    }

    ~LogLeases() override
    {
        *m_self = nullptr;
        for (const auto &[name, duty] : m_duties)
            m_timers.cancel(duty.lapseTimer);
        m_timers.cancel(m_answerTimer);
    }

    // Reading begins at the end: the records before it tell less than a table does.
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

    void want(const std::string &duty) override
    {
        m_duties[duty].isWanted = true;
        if (m_reader)
            m_reader->poll();
    }

    void drop(const std::string &name) override
    {
        const auto it = m_duties.find(name);
        if (it == m_duties.end())
            return;
        Duty &duty = it->second;
        duty.isWanted = false;
        duty.isHeld = false;
        duty.takeAt.reset();
        m_timers.cancel(duty.lapseTimer);
        duty.lapseTimer = NoTimer;
        if (isHolder(name))
            release(name, duty);
        flush();
    }

    std::optional<Lease> held(const std::string &name) const override
    {
        const auto it = m_duties.find(name);
        if (it == m_duties.end() || !it->second.isHeld || m_timers.now() >= it->second.validUntil)
            return std::nullopt;
        assert(isHolder(name) && "what is held was taken in the log");
        return Lease{name, m_options.vm, m_table.state(name).fence};
    }

    std::optional<Lease> holder(const std::string &name) const override
    {
        const DutyState &state = m_table.state(name);
        if (!state.isTaken())
            return std::nullopt;
        return Lease{name, state.vm, state.fence};
    }

private:
    /// What this node does about a duty.
    struct Duty
    {
        bool isWanted = false;
        bool isHeld = false;    // onTaken was called, and onLost not since.
        TimePoint validUntil{}; // By the latest valid record of this node, less the margin.
        TimerId lapseTimer = NoTimer;
        std::optional<TimePoint> renewedAt;  // When the last renewal was sent.
        std::optional<TimePoint> releasedAt; // When the last release was sent.
        LogOffset releasedFence = 0;      // Never held again: its release may still be on its way.
        std::optional<TimePoint> takeAt;  // When to send a take, unless something changes.
        LogOffset takeSeen = 0;           // The record that the take would follow.
        std::optional<TimePoint> takenAt; // When the last take was sent.
        LogOffset takenSeen = 0;          // The record that it followed.
    };

    bool isHolder(const std::string &name) const
    {
        const DutyState &state = m_table.state(name);
        return state.isTaken() && state.owner == m_owner;
    }

    bool isReleaseSent(const std::string &name, const Duty &duty) const
    {
        return duty.releasedFence == m_table.state(name).fence;
    }

    void onRecord(const LogRecord &record)
    {
        const absl::StatusOr<LeaseRecord> decoded = decodeLeaseRecord(record.data);
        if (!decoded.ok())
            return;
        const bool isValid = m_table.apply(record.offset, *decoded, m_timers.now());
        const auto sent = m_sent.extract(decoded->id);
        if (decoded->kind == LeaseRecordKind::Ask)
            answerLater();
        if (decoded->kind == LeaseRecordKind::Table)
            cancelAnswer();
        if (!isValid)
            return;
        if (decoded->kind == LeaseRecordKind::Reset)
            loseAll();
        const auto it = m_duties.find(decoded->duty);
        if (it == m_duties.end())
            return;
        if (!isHolder(decoded->duty))
            lose(decoded->duty, it->second);
        else if (!sent.empty())
            confirm(decoded->duty, it->second, sent.mapped());
    }

    // All who could answer read an ask at about the same time; the first table spares the others.
    void answerLater()
    {
        if (!m_table.isKnown() || m_answerTimer != NoTimer)
            return;
        m_answerTimer = m_timers.subscribeAfter(m_random.jitter(m_options.pollInterval), [this] {
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

    // The lease counts from before its record was sent; others count from after they read it.
    void confirm(const std::string &name, Duty &duty, TimePoint sentAt)
    {
        const TimePoint until = sentAt + m_options.duration - m_options.margin;
        duty.validUntil = std::max(duty.validUntil, until);
        const bool isGivenUp = !duty.isWanted || isReleaseSent(name, duty);
        if (isGivenUp || m_timers.now() >= duty.validUntil)
            return;
        m_timers.cancel(duty.lapseTimer);
        duty.lapseTimer = m_timers.subscribeAt(duty.validUntil, [this, name] {
            m_duties.at(name).lapseTimer = NoTimer;
            lose(name, m_duties.at(name));
        });
        if (duty.isHeld)
            return;
        duty.isHeld = true;
        if (m_hooks.onTaken)
            m_hooks.onTaken(Lease{name, m_options.vm, m_table.state(name).fence});
    }

    void lose(const std::string &name, Duty &duty)
    {
        m_timers.cancel(duty.lapseTimer);
        duty.lapseTimer = NoTimer;
        if (!std::exchange(duty.isHeld, false))
            return;
        if (m_hooks.onLost)
            m_hooks.onLost(name);
    }

    void loseAll()
    {
        for (auto &[name, duty] : m_duties) {
            lose(name, duty);
            duty.validUntil = TimePoint();
        }
    }

    // Who took what within the gap is not known, so nothing is held until it is.
    void onGap(const StreamGap &gap)
    {
        loseAll();
        cancelAnswer();
        m_table.onGap(gap.oldest);
        m_askAt = m_timers.now() + m_random.jitter(m_options.pollInterval);
    }

    void onCaughtUp(TimePoint asOf)
    {
        forgetOldRecords();
        if (m_table.isKnown()) {
            for (auto &[name, duty] : m_duties)
                tend(name, duty, asOf);
        } else {
            learn(asOf);
        }
        flush();
    }

    // Where nobody answers an ask, nor renews a lease, for as long as a lease holds, none does.
    void learn(TimePoint asOf)
    {
        const TimePoint now = m_timers.now();
        if (m_table.openAsk() == 0) {
            if (now < m_askAt)
                return;
            m_askAt = now + m_options.duration / 2 + m_random.jitter(m_options.duration / 2);
            m_outbox.push_back(encodeLeaseRecord(newRecord(LeaseRecordKind::Ask)));
            return;
        }
        const bool isQuiet = asOf - m_table.openAskReadAt() >= m_options.duration;
        if (!isQuiet || !isOlderThan(m_resetAt, now - m_options.duration))
            return;
        m_resetAt = now;
        LeaseRecord record = newRecord(LeaseRecordKind::Reset);
        record.seen = m_table.openAsk();
        m_outbox.push_back(encodeLeaseRecord(record));
    }

    void tend(const std::string &name, Duty &duty, TimePoint asOf)
    {
        if (isHolder(name)) {
            duty.takeAt.reset();
            const bool isGivenUp = !duty.isWanted || isReleaseSent(name, duty);
            isGivenUp ? releaseIfDue(name, duty) : renewIfDue(name, duty);
            return;
        }
        if (duty.isWanted)
            challengeIfDue(name, duty, asOf);
    }

    static bool isOlderThan(const std::optional<TimePoint> &when, TimePoint limit)
    {
        return !when || *when <= limit;
    }

    // Sent also where the lease has lapsed for this node but nobody else took it.
    void renewIfDue(const std::string &name, Duty &duty)
    {
        const Duration interval = (m_options.duration - m_options.margin) / RenewalsPerLease;
        if (!isOlderThan(duty.renewedAt, m_timers.now() - interval))
            return;
        duty.renewedAt = m_timers.now();
        send(name, LeaseRecordKind::Renew);
    }

    void releaseIfDue(const std::string &name, Duty &duty)
    {
        if (isOlderThan(duty.releasedAt, m_timers.now() - m_options.duration / 2))
            release(name, duty);
    }

    void release(const std::string &name, Duty &duty)
    {
        duty.releasedAt = m_timers.now();
        duty.releasedFence = m_table.state(name).fence;
        send(name, LeaseRecordKind::Release);
    }

    // Silence counts only where the stream was read to its end after it, by this node's own clock.
    bool mayTake(const DutyState &state, TimePoint asOf) const
    {
        if (!state.isTaken())
            return true;
        const Duration watched = asOf - state.readAt;
        if (m_hooks.mayChallenge)
            return m_hooks.mayChallenge(watched, m_options.duration);
        return watched >= m_options.duration;
    }

    // All who want a duty see it free at about the same time; the wait spreads them so that most
    // read the first one's take before they would send their own.
    void challengeIfDue(const std::string &name, Duty &duty, TimePoint asOf)
    {
        const DutyState &state = m_table.state(name);
        if (!mayTake(state, asOf)) {
            duty.takeAt.reset();
            return;
        }
        const TimePoint now = m_timers.now();
        if (!duty.takeAt || duty.takeSeen != state.last) {
            const bool isFree = !state.isTaken();
            duty.takeAt =
                    now + m_random.jitter(isFree ? m_options.pollInterval : m_options.duration / 2);
            duty.takeSeen = state.last;
        }
        const bool isInFlight = duty.takenSeen == state.last
                                && !isOlderThan(duty.takenAt, now - m_options.duration);
        if (now < *duty.takeAt || isInFlight)
            return;
        duty.takeAt.reset();
        duty.takenAt = now;
        duty.takenSeen = state.last;
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

    // Whether a record was appended, and is valid, is told by reading alone.
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

    // A record that shows later than this would renew nothing.
    void forgetOldRecords()
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
    std::map<std::string, Duty> m_duties;    // That were ever wanted here.
    std::map<std::string, TimePoint> m_sent; // When each record of this node was sent, by id.
    std::vector<std::string> m_outbox;
    std::uint64_t m_lastRecord = 0;
    TimerId m_answerTimer = NoTimer;    // Until this node answers an ask.
    TimePoint m_askAt{};                // When to ask, while the duties are not known.
    std::optional<TimePoint> m_resetAt; // When the last reset was sent.
    std::unique_ptr<StreamReader> m_reader;
    std::shared_ptr<LogLeases *> m_self; // Callbacks that outlive this find null.
};

} // namespace

std::unique_ptr<Leases> Leases::create(const Options &options, Hooks hooks, TimerService &timers,
                                       RandomSource &random)
{
    return std::make_unique<LogLeases>(options, std::move(hooks), timers, random);
}

} // namespace currantwalk
