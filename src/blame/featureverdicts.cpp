// Which features of requests the tracker blames for the crashes of targets.
#include <algorithm>
#include <iterator>
#include <utility>

#include "blame/poisontable.h"

namespace currantwalk {

// The nodes that lost requests at a target tell of them within this time.
static constexpr Duration VerdictDelay = std::chrono::milliseconds(20);
// Counts of other nodes are asked for again after this.
static constexpr Duration CountsLifetime = std::chrono::seconds(2);
static constexpr std::size_t MaxFeaturesSeen = 1000;

static bool hasFeature(const std::vector<RequestFeature> &features, std::uint64_t fingerprint)
{
    return std::any_of(features.begin(), features.end(), [fingerprint](const RequestFeature &each) {
        return each.fingerprint == fingerprint;
    });
}

void PoisonTable::setFeatures(std::uint64_t fingerprint, const TargetId &target,
                              std::vector<RequestFeature> features)
{
    if (Run *const run = findRun(fingerprint, target))
        run->features = std::move(features);
}

void PoisonTable::countAnswer(Run &run)
{
    if (!std::exchange(run.isAnswerCounted, true))
        m_evidence.addAnswer(run.features, m_timers.now() - run.startedAt, m_timers.now());
}

CrashEvidence::Answers PoisonTable::answersHere(std::uint64_t feature)
{
    return m_evidence.answersHere(feature, m_timers.now());
}

void PoisonTable::recordOwnDeath(const PoisonReport &report, bool isTold)
{
    if (m_featuresSeen.size() >= MaxFeaturesSeen)
        m_featuresSeen.clear();
    for (const RequestFeature &feature : report.features)
        m_featuresSeen.insert(feature.fingerprint);
    addEvidence(report);
    if (recordDeath(report) && isTold)
        m_hooks.onDeath(report);
}

bool PoisonTable::onReport(const PoisonReport &report)
{
    addEvidence(report);
    return recordDeath(report);
}

// A request that completes later has still been at a target that crashed.
void PoisonTable::addEvidence(const PoisonReport &report)
{
    const bool isWitness = !report.isOfFeature && report.hasStarted && !report.features.empty();
    const Death death{report.target, report.incarnation, true, false, m_timers.now() - report.age};
    if (!isWitness || report.age >= CrashEvidence::Lifetime || isAliveAfter(death))
        return;
    m_evidence.addWitness({death.target, death.incarnation, death.at - report.noticedAfter},
                          report.fingerprint, report.features);
    m_blamedTargets.insert(report.target);
    if (m_verdictTimer == NoTimer)
        m_verdictTimer = m_timers.scheduleAfter(VerdictDelay, [this] {
            m_verdictTimer = NoTimer;
            reachVerdicts();
        });
}

void PoisonTable::reachVerdicts()
{
    const TimePoint now = m_timers.now();
    std::vector<std::uint64_t> uncounted;
    for (const CrashEvidence::Verdict &verdict : m_evidence.verdicts(now)) {
        const std::uint64_t feature = verdict.feature.fingerprint;
        if (!m_featuresSeen.contains(feature))
            continue;
        if (suspicion(feature) == Suspicion::Refused || !m_hooks.countAnswers) {
            recordVerdict(verdict);
            continue;
        }
        const auto known = m_answerCounts.find(feature);
        const AnswerCount count =
                known == m_answerCounts.end() ? AnswerCount{TimePoint::min()} : known->second;
        if (!count.at)
            continue;
        const bool isRecent = known != m_answerCounts.end() && now - *count.at < CountsLifetime;
        if (!isRecent)
            uncounted.push_back(feature);
        else if (count.isKnown || verdict.events >= CrashEvidence::MinEventsUncounted)
            recordVerdict(verdict);
    }
    if (uncounted.empty())
        return;
    if (m_answerCounts.size() >= MaxFeaturesSeen)
        m_answerCounts.clear();
    for (const std::uint64_t feature : uncounted)
        m_answerCounts[feature] = {};
    uncounted.insert(uncounted.begin(), CrashEvidence::AllRequests);
    m_hooks.countAnswers(uncounted);
}

// The counts of all nodes may speak for another feature.
void PoisonTable::onAnswersOfAll(const std::vector<FeatureAnswers> &answers, bool isKnown)
{
    const TimePoint now = m_timers.now();
    for (const FeatureAnswers &each : answers) {
        m_evidence.setAnswersOfAll(each.feature, each.answers, now);
        m_answerCounts[each.feature] = {now, isKnown};
    }
    reachVerdicts();
}

void PoisonTable::recordVerdict(const CrashEvidence::Verdict &verdict)
{
    for (const TargetCrash &crash : verdict.crashes) {
        PoisonReport report;
        report.fingerprint = verdict.feature.fingerprint;
        report.target = crash.target;
        report.incarnation = crash.incarnation;
        report.subject = verdict.feature.subject;
        report.age = m_timers.now() - crash.at;
        report.isOfFeature = true;
        if (recordDeath(report))
            m_hooks.onDeath(report);
    }
}

// A crash that is due to a feature speaks against no request without it.
bool PoisonTable::isExplained(const PoisonReport &report) const
{
    if (report.isOfFeature)
        return false;
    return std::any_of(m_blamedFeatures.begin(), m_blamedFeatures.end(), [&](std::uint64_t each) {
        const auto record = m_records.find(each);
        if (record == m_records.end() || hasFeature(report.features, each))
            return false;
        const std::vector<Death> &deaths = record->second.deaths;
        return std::any_of(deaths.begin(), deaths.end(), [&report](const Death &death) {
            return death.target == report.target && death.incarnation == report.incarnation;
        });
    });
}

void PoisonTable::removeExplained(const Death &explained, std::uint64_t feature)
{
    for (auto it = m_records.begin(); it != m_records.end();) {
        Record &record = it->second;
        if (!record.isOfFeature && !hasFeature(record.features, feature))
            std::erase_if(record.deaths, [&explained](const Death &death) {
                return death.target == explained.target
                       && death.incarnation == explained.incarnation;
            });
        it = record.deaths.empty() ? m_records.erase(it) : std::next(it);
    }
}

} // namespace currantwalk
