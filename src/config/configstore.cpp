#include "config/configstore.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "base/randomsource.h"
#include "config/acceptance.h"
#include "config/configrecord.h"
#include "log/streamreader.h"

namespace currantwalk {

// Shares of a record's lifetime. Several snapshots stand in the log at any time, so that one lost
// append, or a log that is out for a while, leaves the set readable.
static constexpr int SnapshotsPerLifetime = 4;
static constexpr int SnapshotTriesPerLifetime = 32;

namespace {

class LogConfigStore : public ConfigStore
{
public:
    LogConfigStore(const Options &options, Hooks hooks, TimerService &timers)
        : m_options(options),
          m_hooks(std::move(hooks)),
          m_timers(timers),
          m_random(options.seed),
          m_acceptance(acceptanceHooks(), m_hooks.rule),
          m_self(std::make_shared<LogConfigStore *>(this))
    {
        assert(m_hooks.log.append && m_hooks.log.read && "the log is wired");
    }

    ~LogConfigStore() override { *m_self = nullptr; }

    void start() override
    {
        StreamReader::Options options;
        options.stream = StreamName;
        options.pollInterval = m_options.pollInterval;
        StreamReader::Hooks hooks;
        hooks.onRecord = [this](const LogRecord &record) { onRecord(record); };
        hooks.onGap = [this](const StreamGap &gap) { m_acceptance.onGap(gap); };
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

    std::optional<TimePoint> lastCaughtUp() const override { return m_caughtUp; }

    const std::vector<PublicationVerdict> &verdicts() const override { return m_verdicts; }

    Json::Value encodeCurrent() const override
    {
        if (!m_current)
            return Json::Value();
        ConfigSnapshot snapshot = *m_current;
        const std::optional<ConfigSnapshot> decided = m_acceptance.state();
        if (decided && decided->version.version == snapshot.version.version)
            snapshot.asOf = std::max(snapshot.asOf, decided->asOf);
        return encodeSnapshot(snapshot);
    }

    absl::Status onPeerVersion(const Json::Value &message) override
    {
        // A peer that has no version says so by null.
        if (message.isNull())
            return absl::OkStatus();
        const absl::StatusOr<ConfigSnapshot> snapshot = decodeSnapshot(message);
        if (!snapshot.ok())
            return makeError(ErrorCode::JsonInvalid, std::string(snapshot.status().message()));
        if (snapshot->version.version == 0)
            return makeError(ErrorCode::JsonInvalid, "version 0 is not passed on");
        m_acceptance.onPeerSnapshot(*snapshot);
        advance(*snapshot);
        return absl::OkStatus();
    }

    std::uint64_t divergences() const override { return m_acceptance.divergences(); }

private:
    Acceptance::Hooks acceptanceHooks()
    {
        Acceptance::Hooks hooks;
        hooks.onState = [this](const ConfigSnapshot &state) { advance(state); };
        hooks.onVerdict = [this](const PublicationVerdict &verdict) { keep(verdict); };
        return hooks;
    }

    // A version learnt from a peer may be ahead of this node's reading of the stream: what the
    // stream then tells is older and changes nothing.
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
        assert(m_current->version.version > before && "no version goes back");
        static_cast<void>(before);
        if (m_hooks.onVersion)
            m_hooks.onVersion(m_current->version);
    }

    void keep(const PublicationVerdict &verdict)
    {
        assert((m_verdicts.empty() || m_verdicts.back().offset < verdict.offset)
               && "publications are decided once, in order");
        m_verdicts.push_back(verdict);
        // Dropped by halves, so that the cost of moving the rest is spread.
        if (m_verdicts.size() > 2 * m_options.keptVerdicts)
            m_verdicts.erase(m_verdicts.begin(),
                             m_verdicts.end()
                                     - static_cast<std::ptrdiff_t>(m_options.keptVerdicts));
        if (m_hooks.onVerdict)
            m_hooks.onVerdict(verdict);
    }

    void onRecord(const LogRecord &record)
    {
        m_acceptance.onRecord(record);
        // The age of a record that was there before this node came is not known.
        if (!m_caughtUp)
            return;
        const absl::StatusOr<ConfigRecord> decoded = decodeConfigRecord(record.data);
        if (decoded.ok() && std::holds_alternative<ConfigSnapshot>(*decoded))
            m_snapshotSeen = *m_caughtUp;
    }

    void onCaughtUp(TimePoint asOf)
    {
        m_caughtUp = asOf;
        if (isSnapshotDue())
            writeSnapshot();
    }

    bool isSnapshotDue() const
    {
        if (!m_hooks.isSnapshotWriter || !m_hooks.isSnapshotWriter())
            return false;
        // An empty stream loses nothing by expiry.
        if (!m_acceptance.state() || m_acceptance.next() == 1)
            return false;
        const TimePoint now = m_timers.now();
        const Duration pause = m_options.recordLifetime / SnapshotTriesPerLifetime;
        if (m_snapshotTried && now - *m_snapshotTried < pause)
            return false;
        return !m_snapshotSeen
               || now - *m_snapshotSeen >= m_options.recordLifetime / SnapshotsPerLifetime;
    }

    // Carries what the stream alone told: a version from a peer may be ahead of it. A lost append
    // shows by the snapshot's not coming back; it is then written again.
    void writeSnapshot()
    {
        m_snapshotTried = m_timers.now();
        const std::string id = std::to_string(m_random.next64());
        m_hooks.log.append(StreamName, {encodeSnapshotRecord(*m_acceptance.state(), id)},
                           [self = m_self](const absl::StatusOr<std::vector<LogOffset>> &answer) {
                               if (*self && !answer.ok())
                                   (*self)->onSnapshotFailed(answer.status());
                           });
    }

    // Nothing was appended, so the next try need not wait for the record to show.
    void onSnapshotFailed(const absl::Status &status)
    {
        if (errorCode(status) != ErrorCode::LogUnavailable)
            return;
        const Duration pause = m_options.recordLifetime / SnapshotTriesPerLifetime;
        m_snapshotTried =
                m_timers.now() - pause + std::min<Duration>(pause, m_options.pollInterval * 4);
    }

    const Options m_options;
    const Hooks m_hooks;
    TimerService &m_timers;
    RandomSource m_random;
    Acceptance m_acceptance;
    std::unique_ptr<StreamReader> m_reader;

    std::optional<ConfigSnapshot> m_current; // By the stream or by a peer; only goes forward.
    TimePoint m_currentSince{};
    std::optional<TimePoint> m_caughtUp;
    std::vector<PublicationVerdict> m_verdicts;
    std::optional<TimePoint> m_snapshotSeen; // No later than the latest snapshot's append.
    std::optional<TimePoint> m_snapshotTried;
    std::shared_ptr<LogConfigStore *> m_self; // Callbacks that outlive this find null.
};

} // namespace

std::unique_ptr<ConfigStore> ConfigStore::create(const Options &options, Hooks hooks,
                                                 TimerService &timers)
{
    return std::make_unique<LogConfigStore>(options, std::move(hooks), timers);
}

} // namespace currantwalk
