#ifndef CURRANTWALK_TARGETS_GOSSIPTARGETTABLE_H
#define CURRANTWALK_TARGETS_GOSSIPTARGETTABLE_H

#include <optional>
#include <set>

#include "targets/outlierdetector.h"
#include "targets/targetmessages.h"
#include "targets/targetrecord.h"
#include "targets/targettable.h"

namespace currantwalk {

/// Probes the targets that this node watches and learns the state of the others from the digests
/// of its zone. Probes an unwatched target of its zone too when digests about it are missing.
class GossipTargetTable : public TargetTable
{
public:
    GossipTargetTable(const Options &options, Hooks hooks, TimerService &timers);
    ~GossipTargetTable() override;

    void start() override;
    void onTargetList(const std::vector<ListedTarget> &list) override;
    void onReport(const TargetReport &report) override;
    void onProbeFailed(const TargetId &target) override;
    absl::Status onDigest(const Json::Value &digest) override;
    absl::Status onAnnouncement(const Json::Value &message) override;
    void onSuspectedDead(const TargetId &target) override;
    void onLeaving(const TargetId &target, Incarnation incarnation) override;
    void onOutcome(const TargetId &target, bool isSuccess) override;

    const Target *find(const TargetId &target) const override;
    std::vector<const Target *> candidates(std::string_view pool) const override;
    std::vector<const Target *> all() const override;

private:
    struct Entry
    {
        explicit Entry(const TargetId &id) : record(id) {}

        TargetRecord record;
        std::optional<TimePoint> probeSentAt; ///< Set while a probe is in flight.
        std::optional<TimePoint> lastProbeAt;
        std::uint32_t failures = 0; ///< Consecutive failed probes.
        bool isWatched = false;     ///< By this node.
        bool isSuspected = false;   ///< Reported by requests; cleared by the next probe result.
        bool isProbeRequested = false;
        bool isReportFresh = false; ///< From this node's probe, not yet in a digest.
        TimePoint lastSentAt{};     ///< When any node last sent a row.
        std::uint32_t lastSentTag = 0;
        bool hasSentModels = false;
    };

    enum class Source { Local, Peer };

    Entry &entry(const TargetId &id);
    Entry *findEntry(const TargetId &id);
    bool isOwnZone(const Entry &entry) const;
    void selectWatched();
    bool isUsable(const Entry &entry) const;
    Duration probePeriod(const Entry &entry) const;
    bool isProbeDue(const Entry &entry) const;
    void probe(Entry &entry);
    void handleProbeFailure(Entry &entry);
    void probeTick();
    void digestTick();
    void scheduleDigest(Duration delay);
    Duration scaledDigestInterval() const;
    void removeExpired();
    bool isDigestDue(const Entry &entry, Duration interval) const;
    DigestRow makeRow(const Entry &entry) const;
    void markSent(Entry &entry, const DigestRow &row);
    void applyRow(const DigestRow &row);
    void applyLoadRow(Entry &entry, const DigestRow &row);
    void selectOtherZoneTargets(const std::vector<ListedTarget> &list);
    void publish(Entry &entry, bool isChanged, Source source, TargetState before);
    void announce(const Entry &entry);
    void appendCandidates(std::vector<const Target *> &usable,
                          std::vector<const Entry *> zone) const;

    Options m_options;
    Hooks m_hooks;
    TimerService &m_timers;
    std::map<TargetId, Entry> m_entries;
    std::set<TargetId> m_watchedInOtherZones;
    OutlierDetector m_outliers;
    TimerId m_probeTimer = NoTimer;
    TimerId m_digestTimer = NoTimer;
};

} // namespace currantwalk

#endif // CURRANTWALK_TARGETS_GOSSIPTARGETTABLE_H
