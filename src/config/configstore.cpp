#include "config/configstore.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "base/randomsource.h"
#include "config/configrecord.h"
#include "config/configstatemachine.h"
#include "log/streamreader.h"

namespace currantwalk {

// Snapshots are written several times within a record's lifetime, so that the set stays readable
// after a lost append or a temporary outage of the log.
static constexpr int SnapshotsPerLifetime = 4;
static constexpr int SnapshotAttemptsPerLifetime = 32;

namespace {

class LogConfigStore : public ConfigStore
{
public:
    LogConfigStore(const Options &options, Hooks hooks, TimerService &timers)
        : m_options(options),
          m_hooks(std::move(hooks)),
          m_timers(timers),
          m_random(options.seed),
          m_stateMachine(stateMachineHooks(), m_hooks.rule),
          m_self(std::make_shared<LogConfigStore *>(this))
    {
        assert(m_hooks.log.append && m_hooks.log.read && "the log hooks are set");
    }

    ~LogConfigStore() override { *m_self = nullptr; }

    void start() override
    {
        StreamReader::Options options;
        options.stream = StreamName;
        options.pollInterval = m_options.pollInterval;
        StreamReader::Hooks hooks;
        hooks.onRecord = [this](const LogRecord &record) { onRecord(record); };
        hooks.onGap = [this](const StreamGap &gap) { m_stateMachine.onGap(gap); };
        hooks.onCaughtUp = [this](TimePoint asOf) { onCaughtUp(asOf); };
        m_reader = StreamReader::create(options, std::move(hooks), m_hooks.log, m_timers, m_random);
        m_reader->start();
    }

    const ConfigVersion *current() const override
    {
        return m_current ? &m_current->version : nullptr;
    }

    Duration currentAge() const override
    {
        return m_current ? m_timers.now() - m_currentSince : Duration(0);
    }

    std::optional<TimePoint> lastCaughtUp() const override { return m_caughtUpAt; }

    const std::vector<PublicationVerdict> &verdicts() const override { return m_verdicts; }

    Json::Value encodeCurrent() const override
    {
        if (!m_current)
            return Json::Value();
        ConfigSnapshot snapshot = *m_current;
        const std::optional<ConfigSnapshot> decided = m_stateMachine.state();
        if (decided && decided->version.version == snapshot.version.version)
            snapshot.asOf = std::max(snapshot.asOf, decided->asOf);
        return encodeSnapshot(snapshot);
    }

    absl::Status onPeerVersion(const Json::Value &message) override
    {
        // A peer without a version sends null.
        if (message.isNull())
            return absl::OkStatus();
        const absl::StatusOr<ConfigSnapshot> snapshot = decodeSnapshot(message);
        if (!snapshot.ok())
            return makeError(ErrorCode::JsonInvalid, std::string(snapshot.status().message()));
        if (snapshot->version.version == 0)
            return makeError(ErrorCode::JsonInvalid, "version 0 is not sent to peers");
        m_stateMachine.onPeerSnapshot(*snapshot);
        advance(*snapshot);
        return absl::OkStatus();
    }

    std::uint64_t divergences() const override { return m_stateMachine.divergences(); }

private:
    ConfigStateMachine::Hooks stateMachineHooks()
    {
        ConfigStateMachine::Hooks hooks;
        hooks.onState = [this](const ConfigSnapshot &state) { advance(state); };
        hooks.onVerdict = [this](const PublicationVerdict &verdict) { addVerdict(verdict); };
        return hooks;
    }

    // A version received from a peer may be newer than the records read so far; older versions read
    // from the stream afterwards are ignored.
    void advance(const ConfigSnapshot &snapshot)
    {
        const LogOffset version = snapshot.version.version;
        if (version == 0)
            return;
        if (m_current && version <= m_current->version.version) {
            if (version == m_current->version.version)
                m_current->asOf = std::max(m_current->asOf, snapshot.asOf);
            return;
        }
        const LogOffset before = m_current ? m_current->version.version : 0;
        m_current = snapshot;
        m_currentSince = m_timers.now();
        assert(m_current->version.version > before && "the version never decreases");
        static_cast<void>(before);
        if (m_hooks.onVersion)
            m_hooks.onVersion(m_current->version);
    }

    void addVerdict(const PublicationVerdict &verdict)
    {
        assert((m_verdicts.empty() || m_verdicts.back().offset < verdict.offset)
               && "publications are decided once, in order");
        m_verdicts.push_back(verdict);
        // Erased in batches to amortise the cost of moving the remaining elements.
        if (m_verdicts.size() > 2 * m_options.maxKeptVerdicts)
            m_verdicts.erase(m_verdicts.begin(),
                             m_verdicts.end()
                                     - static_cast<std::ptrdiff_t>(m_options.maxKeptVerdicts));
        if (m_hooks.onVerdict)
            m_hooks.onVerdict(verdict);
    }

    void onRecord(const LogRecord &record)
    {
        m_stateMachine.onRecord(record);
        // The age of records appended before this node started reading is unknown.
        if (!m_caughtUpAt)
            return;
        const absl::StatusOr<ConfigRecord> decoded = decodeConfigRecord(record.data);
        if (decoded.ok() && std::holds_alternative<ConfigSnapshot>(*decoded))
            m_snapshotSeenAt = *m_caughtUpAt;
    }

    void onCaughtUp(TimePoint asOf)
    {
        m_caughtUpAt = asOf;
        if (isSnapshotDue())
            writeSnapshot();
    }

    bool isSnapshotDue() const
    {
        if (!m_hooks.isSnapshotWriter || !m_hooks.isSnapshotWriter())
            return false;
        // An empty stream has nothing to preserve.
        if (!m_stateMachine.state() || m_stateMachine.next() == 1)
            return false;
        const TimePoint now = m_timers.now();
        const Duration pause = m_options.recordLifetime / SnapshotAttemptsPerLifetime;
        if (m_snapshotTriedAt && now - *m_snapshotTriedAt < pause)
            return false;
        return !m_snapshotSeenAt
               || now - *m_snapshotSeenAt >= m_options.recordLifetime / SnapshotsPerLifetime;
    }

    // Writes the state read from the stream, not a version from a peer, which may be ahead of it.
    // If the append is lost, the snapshot does not appear in the stream and is written again.
    void writeSnapshot()
    {
        m_snapshotTriedAt = m_timers.now();
        const std::string id = std::to_string(m_random.next64());
        m_hooks.log.append(StreamName, {encodeSnapshotRecord(*m_stateMachine.state(), id)},
                           [self = m_self](const absl::StatusOr<std::vector<LogOffset>> &answer) {
                               if (*self && !answer.ok())
                                   (*self)->onSnapshotFailed(answer.status());
                           });
    }

    // Nothing was appended, so the retry need not wait for the record to appear in the stream.
    void onSnapshotFailed(const absl::Status &status)
    {
        if (errorCode(status) != ErrorCode::LogUnavailable)
            return;
        const Duration pause = m_options.recordLifetime / SnapshotAttemptsPerLifetime;
        m_snapshotTriedAt =
                m_timers.now() - pause + std::min<Duration>(pause, m_options.pollInterval * 4);
    }

    const Options m_options;
    const Hooks m_hooks;
    TimerService &m_timers;
    RandomSource m_random;
    ConfigStateMachine m_stateMachine;
    std::unique_ptr<StreamReader> m_reader;

    std::optional<ConfigSnapshot> m_current; // From the stream or a peer; never decreases.
    TimePoint m_currentSince{};
    std::optional<TimePoint> m_caughtUpAt;
    std::vector<PublicationVerdict> m_verdicts;
    std::optional<TimePoint> m_snapshotSeenAt; // Lower bound of the latest snapshot's append time.
    std::optional<TimePoint> m_snapshotTriedAt;
    std::shared_ptr<LogConfigStore *> m_self; // Set to null on destruction, for pending callbacks.
};

} // namespace

std::unique_ptr<ConfigStore> ConfigStore::create(const Options &options, Hooks hooks,
                                                 TimerService &timers)
{
    return std::make_unique<LogConfigStore>(options, std::move(hooks), timers);
}

} // namespace currantwalk
