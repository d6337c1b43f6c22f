#ifndef CURRANTWALK_TARGETS_WATCHEDTARGETTABLE_H
#define CURRANTWALK_TARGETS_WATCHEDTARGETTABLE_H

#include <optional>
#include <set>

#include "targets/outlierdetector.h"
#include "targets/targetmessages.h"
#include "targets/targetrecord.h"
#include "targets/targettable.h"

namespace currantwalk {

/// The target table of a node: probes what it watches, learns the rest from the digests of its
/// zone, and asks for itself where those are missing.
class WatchedTargetTable : public TargetTable
{
public:
    WatchedTargetTable(const Options &options, Hooks hooks, TimerService &timers);
    ~WatchedTargetTable() override;

    void start() override;
    void onList(const std::vector<ListedTarget> &list) override;
    void onReport(const TargetReport &report) override;
    void onProbeFailed(const TargetId &target) override;
    absl::Status onDigest(const Json::Value &digest) override;
    absl::Status onAnnouncement(const Json::Value &fact) override;
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
        std::optional<TimePoint> probedAt; ///< Of the probe that is not yet answered.
        std::optional<TimePoint> lastProbe;
        std::uint32_t failures = 0; ///< Probes in a row.
        bool isWatched = false;     ///< By this node.
        bool isConfirming = false;  ///< Suspected by the data path until a probe answers.
        bool isProbeWanted = false;
        bool isReportFresh = false; ///< Of this node's probe, not yet in a digest.
        TimePoint sharedAt{};       ///< By any node.
        std::uint32_t sharedTag = 0;
        bool hasSharedModels = false;
    };

    enum class Source { Own, Peer };

    Entry &entry(const TargetId &id);
    Entry *findEntry(const TargetId &id);
    bool isOwnZone(const Entry &entry) const;
    void chooseWatched();
    bool isUsable(const Entry &entry) const;
    Duration probePeriod(const Entry &entry) const;
    bool isProbeDue(const Entry &entry) const;
    void probe(Entry &entry);
    void failProbe(Entry &entry);
    void probeTick();
    void shareTick();
    void forgetOld();
    bool isShareDue(const Entry &entry) const;
    DigestRow makeRow(const Entry &entry) const;
    void markShared(Entry &entry, const DigestRow &row);
    void applyRow(const DigestRow &row);
    void applyLoadRow(Entry &entry, const DigestRow &row);
    void chooseForeign(const std::vector<ListedTarget> &list);
    void publish(Entry &entry, bool isChanged, Source source, TargetState before);
    void announce(const Entry &entry);
    void appendUsable(std::vector<const Target *> &usable, std::vector<const Entry *> zone) const;

    Options m_options;
    Hooks m_hooks;
    TimerService &m_timers;
    std::map<TargetId, Entry> m_entries;
    std::set<TargetId> m_foreignWatched;
    OutlierDetector m_outliers;
    TimerId m_probeTimer = NoTimer;
    TimerId m_shareTimer = NoTimer;
};

} // namespace currantwalk

#endif // CURRANTWALK_TARGETS_WATCHEDTARGETTABLE_H
