#ifndef CURRANTWALK_BLAME_POISONTABLE_H
#define CURRANTWALK_BLAME_POISONTABLE_H

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "blame/poisontracker.h"

namespace currantwalk {

struct Death
{
    TargetId target;
    Incarnation incarnation = 0;
    bool hasStarted = false;
    bool wasAnswering = false;
    TimePoint at{};
};

struct Record
{
    std::vector<Death> deaths; ///< At least one.
    TimePoint lastDeathAt = TimePoint::min();
    std::string subject;
    std::vector<RequestFeature> features;
    bool isOfFeature = false;
};

struct Run
{
    std::uint64_t fingerprint = 0;
    Incarnation incarnation = 0;
    bool hasStarted = false;
    TimePoint startedAt{};
    std::optional<TimePoint> answeringSince;
    std::optional<TimePoint> lastPartAt;  ///< Of the answer.
    std::optional<TimePoint> abandonedAt; ///< Set if the node gave up waiting for the answer.
    std::string subject;
    std::vector<RequestFeature> features;
    bool isAnswerCounted = false;
};

/// How many requests with a feature all nodes have answered was asked for.
struct AnswerCount
{
    std::optional<TimePoint> at; ///< Nothing while it is awaited.
    bool isKnown = false;        ///< Whether enough nodes have told.
};

/// A time during which one start of a target is known to have been alive.
struct Lifetime
{
    Incarnation incarnation = 0;
    TimePoint from{};
    TimePoint until{};
};

/// The state of a tracker; its parts are in poisontracker.cpp and featureverdicts.cpp.
class PoisonTable : public PoisonTracker
{
public:
    PoisonTable(TimerService &timers, Hooks hooks)
        : m_timers(timers), m_hooks(std::move(hooks)), m_createdAt(timers.now())
    {
    }
    ~PoisonTable() override { m_timers.cancel(m_verdictTimer); }
    PoisonTable(const PoisonTable &) = delete;
    PoisonTable &operator=(const PoisonTable &) = delete;

    Suspicion suspicion(std::uint64_t fingerprint) const override;
    void onSent(std::uint64_t fingerprint, const TargetId &target,
                Incarnation incarnation) override;
    void onRunning(std::uint64_t fingerprint, const TargetId &target,
                   Incarnation incarnation) override;
    void onAnswering(std::uint64_t fingerprint, const TargetId &target) override;
    void setSubject(std::uint64_t fingerprint, const TargetId &target,
                    std::string subject) override;
    void setFeatures(std::uint64_t fingerprint, const TargetId &target,
                     std::vector<RequestFeature> features) override;
    CrashEvidence::Answers answersHere(std::uint64_t feature) override;
    Duration countingTime() const override { return m_timers.now() - m_createdAt; }
    void onAnswersOfAll(const std::vector<FeatureAnswers> &answers, bool isKnown) override;
    void onAbandoned(std::uint64_t fingerprint, const TargetId &target) override;
    void onReleased(std::uint64_t fingerprint, const TargetId &target, bool isComplete) override;
    void onLost(std::uint64_t fingerprint, const TargetId &target,
                Incarnation incarnation) override;
    void onTargetDied(const TargetId &target, Incarnation incarnation) override;
    void onTargetVanished(const TargetId &target) override;
    bool onReport(const PoisonReport &report) override;
    void clear(std::uint64_t fingerprint) override { onClearing({fingerprint, Duration::zero()}); }
    bool onClearing(const PoisonClearing &clearing) override;
    bool onLifetime(const TargetLifetime &report) override;
    void onTick() override;
    std::vector<Entry> entries() const override;
    std::vector<PoisonReport> reports(std::size_t maxRequests) const override;
    std::vector<PoisonReport> reportsOf(std::uint64_t fingerprint) const override;
    std::vector<PoisonClearing> clearings() const override;

private:
    bool isExpired(const Record &record) const;
    TimePoint observedAt() const;
    void extendLifetime(const TargetId &target, const Lifetime &seen);
    bool isAliveAfter(const Death &death) const;
    bool withdrawDeaths(const TargetId &target);
    bool isSilent(const Run &run) const;
    bool wasAnswering(const Run &run) const;
    void recordDeaths(const TargetId &target, const std::vector<Run> &runs,
                      Duration noticedAfter = Duration::zero());
    void removeOutdated();
    PoisonReport reportOf(const Run &run, const TargetId &target, std::size_t running) const;
    bool recordDeath(const PoisonReport &report);
    void recordOwnDeath(const PoisonReport &report, bool isTold);
    void addEvidence(const PoisonReport &report);
    void countAnswer(Run &run);
    void reachVerdicts();
    void recordVerdict(const CrashEvidence::Verdict &verdict);
    bool isExplained(const PoisonReport &report) const;
    void removeExplained(const Death &death, std::uint64_t feature);
    void evictRecords();
    void evictClearings();
    Run *findRun(std::uint64_t fingerprint, const TargetId &target);
    Run &findOrAddRun(std::uint64_t fingerprint, const TargetId &target);
    std::vector<Run> takeRuns(const TargetId &target, Incarnation incarnation);

    TimerService &m_timers;
    const Hooks m_hooks;
    const TimePoint m_createdAt;
    std::unordered_map<std::uint64_t, Record> m_records;
    std::unordered_map<std::uint64_t, TimePoint> m_clearedAt;
    std::unordered_map<TargetId, std::vector<Run>> m_runs;
    std::unordered_map<TargetId, TimePoint> m_vanishedAt;
    std::unordered_map<TargetId, Lifetime> m_lifetimes;
    std::unordered_set<TargetId> m_blamedTargets;       ///< Those of which a death is recorded.
    std::unordered_set<std::uint64_t> m_blamedFeatures; ///< Those that have a record.
    CrashEvidence m_evidence;
    /// Features of requests that this node lost when a target crashed. Nodes that saw no crash
    /// leave the verdict to others.
    std::unordered_set<std::uint64_t> m_featuresSeen;
    /// By feature.
    std::unordered_map<std::uint64_t, AnswerCount> m_answerCounts;
    TimerId m_verdictTimer = NoTimer;
    TimePoint m_nextRemovalAt{};
    std::optional<TimePoint> m_lastTickAt;
    std::optional<TimePoint> m_tickBeforeAt;
};

} // namespace currantwalk

#endif // CURRANTWALK_BLAME_POISONTABLE_H
