#include "blame/crashevidence.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <numeric>
#include <set>
#include <tuple>
#include <utility>

namespace currantwalk {

// Servers that end together, such as those of a zone, mostly end of another cause.
static constexpr Duration SimultaneousPeriod = std::chrono::milliseconds(300);
// Answers of the last one to two periods count.
static constexpr Duration CountPeriod = std::chrono::minutes(5);
// Shorter, as requests with a feature may come all at once.
static constexpr Duration WaitPeriod = std::chrono::seconds(30);
// Limit memory and the work of finding an explanation.
static constexpr std::size_t MaxCrashes = 64;
static constexpr std::size_t MaxWitnessesPerCrash = 64;
static constexpr std::size_t MaxCountedFeatures = 20000;
static constexpr std::size_t MaxExplanations = 8;
// Makes the number of crashes decide between features without answers.
static constexpr double AnswersBias = 0.5;
// One feature of several requests is likelier to crash targets than each of them by itself.
static constexpr double WholeRequestBias = CrashEvidence::MaxAnswersPerEvent;
// Of a feature or whole request that may explain crashes.
static constexpr std::size_t MinCandidateEvents = 2;
// A whole request is narrower than each of its features.
static constexpr std::size_t WholeRequestRank = std::numeric_limits<std::size_t>::max();

struct CrashEvidence::Candidate
{
    std::uint64_t fingerprint = 0;
    const RequestFeature *feature = nullptr; ///< Nothing for a whole request.
    std::size_t rank = 0;                    ///< The higher, the fewer requests have it.
    std::vector<const Crash *> crashes;      ///< In the order of their records.
    std::set<std::uint64_t> requests;
    /// Crashes of an event at which a request with the feature was, beside all crashes of it.
    struct Share
    {
        std::size_t crashes = 0;
        std::size_t ofAll = 0;
    };
    std::map<std::size_t, Share> shares; ///< By event.

    /// Returns the number of events that the feature explains for the most part.
    std::size_t events() const;
};

// Repetitions of one request are one witness against its features.
std::size_t CrashEvidence::Candidate::events() const
{
    const auto count = std::count_if(shares.begin(), shares.end(), [](const auto &each) {
        return 2 * each.second.crashes >= each.second.ofAll;
    });
    const std::size_t events = static_cast<std::size_t>(count);
    return feature ? std::min(events, requests.size()) : events;
}

// Returns the number of the event that each crash belongs to, and the crashes of each event.
static std::pair<std::vector<std::size_t>, std::vector<std::size_t>>
groupByTime(const std::vector<TimePoint> &times)
{
    std::vector<std::size_t> order(times.size());
    std::iota(order.begin(), order.end(), 0);
    std::sort(order.begin(), order.end(),
              [&times](std::size_t a, std::size_t b) { return times[a] < times[b]; });
    std::vector<std::size_t> events(times.size());
    std::vector<std::size_t> sizes;
    TimePoint startedAt{};
    for (const std::size_t crash : order) {
        if (sizes.empty() || times[crash] - startedAt >= SimultaneousPeriod) {
            sizes.push_back(0);
            startedAt = times[crash];
        }
        events[crash] = sizes.size() - 1;
        ++sizes.back();
    }
    return {events, sizes};
}

void CrashEvidence::addWitness(const TargetCrash &crash, std::uint64_t request,
                               const std::vector<RequestFeature> &features)
{
    const auto known =
            std::find_if(m_crashes.begin(), m_crashes.end(), [&crash](const Crash &each) {
                return each.crash.target == crash.target
                       && each.crash.incarnation == crash.incarnation;
            });
    Crash *const entry = known != m_crashes.end() ? &*known : &m_crashes.emplace_back();
    if (known == m_crashes.end())
        entry->crash = crash;
    const bool isKnown =
            std::any_of(entry->witnesses.begin(), entry->witnesses.end(),
                        [request](const Witness &each) { return each.request == request; });
    if (!isKnown && entry->witnesses.size() < MaxWitnessesPerCrash)
        entry->witnesses.push_back({request, features});
    if (m_crashes.size() > MaxCrashes)
        m_crashes.pop_front();
}

void CrashEvidence::removeCrashes(const std::function<bool(const TargetCrash &)> &isRefuted)
{
    m_crashes.remove_if([&isRefuted](const Crash &each) { return isRefuted(each.crash); });
}

void CrashEvidence::removeExpired(TimePoint now)
{
    removeCrashes([now](const TargetCrash &crash) { return now - crash.at >= Lifetime; });
}

template<typename Sum>
void CrashEvidence::Sums<Sum>::rotate(Duration period, TimePoint now)
{
    if (now - rotatedAt < period)
        return;
    const bool isOutdated = now - rotatedAt >= 2 * period;
    hereBefore = isOutdated ? decltype(here){} : std::move(here);
    ofAllBefore = isOutdated ? decltype(ofAll){} : std::move(ofAll);
    here.clear();
    ofAll.clear();
    rotatedAt = now;
}

template<typename Sum>
void CrashEvidence::Sums<Sum>::add(std::uint64_t feature, Sum sum)
{
    const auto known = here.find(feature);
    if (known != here.end())
        known->second += sum;
    else if (here.size() < MaxCountedFeatures)
        here.emplace(feature, sum);
}

template<typename Sum>
static Sum valueOf(const std::unordered_map<std::uint64_t, Sum> &sums, std::uint64_t feature)
{
    const auto known = sums.find(feature);
    return known == sums.end() ? Sum{} : known->second;
}

template<typename Sum>
Sum CrashEvidence::Sums<Sum>::sumHere(std::uint64_t feature) const
{
    return valueOf(here, feature) + valueOf(hereBefore, feature);
}

template<typename Sum>
Sum CrashEvidence::Sums<Sum>::sum(std::uint64_t feature) const
{
    return std::max({sumHere(feature), valueOf(ofAll, feature), valueOf(ofAllBefore, feature)});
}

void CrashEvidence::rotateCounts(TimePoint now)
{
    m_counts.rotate(CountPeriod, now);
    m_waits.rotate(WaitPeriod, now);
}

void CrashEvidence::addAnswer(const std::vector<RequestFeature> &features, Duration waited,
                              TimePoint now)
{
    if (features.empty())
        return;
    rotateCounts(now);
    m_counts.add(AllRequests, 1);
    m_waits.add(AllRequests, waited);
    for (const RequestFeature &feature : features) {
        m_counts.add(feature.fingerprint, 1);
        m_waits.add(feature.fingerprint, waited);
    }
}

void CrashEvidence::setAnswersOfAll(std::uint64_t feature, const Answers &answers, TimePoint now)
{
    rotateCounts(now);
    if (m_counts.ofAll.size() < MaxCountedFeatures)
        m_counts.ofAll[feature] = answers.count;
    if (m_waits.ofAll.size() < MaxCountedFeatures)
        m_waits.ofAll[feature] = answers.waited;
}

CrashEvidence::Answers CrashEvidence::answersHere(std::uint64_t feature, TimePoint now)
{
    rotateCounts(now);
    return {m_counts.sumHere(feature), m_waits.sumHere(feature)};
}

// The part of the requests at a target, not yet answered, that is expected to have the feature.
// Requests that wait for long are at the target more often than their number tells.
double CrashEvidence::shareOfRequests(std::uint64_t feature) const
{
    const std::uint64_t answers = m_counts.sum(AllRequests);
    if (answers == 0)
        return 1;
    const double ofAnswers =
            static_cast<double>(m_counts.sum(feature)) / static_cast<double>(answers);
    const Duration waited = m_waits.sum(AllRequests);
    const double ofWaiting = waited > Duration::zero()
                                     ? std::chrono::duration<double>(m_waits.sum(feature))
                                               / std::chrono::duration<double>(waited)
                                     : 0;
    return std::min(1.0, std::max(ofAnswers, ofWaiting));
}

CrashEvidence::Candidates CrashEvidence::candidates(const std::vector<const Crash *> &crashes) const
{
    Candidates candidates;
    std::vector<TimePoint> times;
    for (const Crash *crash : crashes)
        times.push_back(crash->crash.at);
    const auto [events, sizes] = groupByTime(times);
    for (std::size_t number = 0; number < crashes.size(); ++number) {
        const Crash *const crash = crashes[number];
        const std::size_t event = events[number];
        const std::size_t size = sizes[event];
        for (const Witness &witness : crash->witnesses) {
            const auto add = [&](std::uint64_t fingerprint, const RequestFeature *feature,
                                 std::size_t rank) {
                Candidate &candidate = candidates[fingerprint];
                candidate.fingerprint = fingerprint;
                candidate.feature = feature;
                candidate.rank = std::max(candidate.rank, rank);
                if (candidate.crashes.empty() || candidate.crashes.back() != crash) {
                    candidate.crashes.push_back(crash);
                    ++candidate.shares[event].crashes;
                    candidate.shares[event].ofAll = size;
                }
                candidate.requests.insert(witness.request);
            };
            for (std::size_t i = 0; i < witness.features.size(); ++i)
                add(witness.features[i].fingerprint, &witness.features[i], i);
            add(witness.request, nullptr, WholeRequestRank);
        }
    }
    return candidates;
}

// Returns the probability that at least \a least of independent events happen.
static double probabilityOfAtLeast(std::size_t least, const std::vector<double> &probabilities)
{
    // Of each number of events, those from least on together.
    std::vector<double> ofNumber(least + 1);
    ofNumber[0] = 1;
    for (const double probability : probabilities) {
        ofNumber[least] += ofNumber[least - 1] * probability;
        for (std::size_t number = least - 1; number > 0; --number)
            ofNumber[number] =
                    ofNumber[number] * (1 - probability) + ofNumber[number - 1] * probability;
        ofNumber[0] *= 1 - probability;
    }
    return ofNumber[least];
}

// Tests for each feature whether its requests were at crashes independently of them. The error rate
// is divided by the number of tests (Bonferroni). Features of too few requests to be blamed do not
// count as tested (R. E. Tarone, A modified Bonferroni method for discrete data, 1990).
const CrashEvidence::Candidate *
CrashEvidence::mostSignificant(const Candidates &candidates,
                               const std::vector<const Crash *> &crashes) const
{
    std::vector<TimePoint> times;
    for (const Crash *crash : crashes)
        times.push_back(crash->crash.at);
    const auto [events, sizes] = groupByTime(times);
    std::vector<std::size_t> witnesses(sizes.size());
    for (std::size_t number = 0; number < crashes.size(); ++number)
        witnesses[events[number]] += crashes[number]->witnesses.size();
    const auto tested =
            std::count_if(candidates.begin(), candidates.end(), [this](const auto &each) {
                const Candidate &candidate = each.second;
                return candidate.feature
                       && m_counts.sum(each.first) + candidate.requests.size() >= MinEvents;
            });
    const Candidate *best = nullptr;
    // Features without any answer differ in the number of their events only.
    std::tuple<double, std::size_t, std::size_t, std::uint64_t> bestCost;
    for (const auto &[fingerprint, candidate] : candidates) {
        const std::size_t explained = candidate.events();
        if (!candidate.feature || explained < MinEvents)
            continue;
        const double share = shareOfRequests(fingerprint);
        std::vector<double> probabilities;
        for (const std::size_t count : witnesses)
            probabilities.push_back(1 - std::pow(1 - share, static_cast<double>(count)));
        const double error = probabilityOfAtLeast(explained, probabilities);
        const std::tuple<double, std::size_t, std::size_t, std::uint64_t> cost{
                error, witnesses.size() - explained, WholeRequestRank - candidate.rank,
                fingerprint};
        if (error * static_cast<double>(tested) > MaxErrorRate || (best && cost >= bestCost))
            continue;
        best = &candidate;
        bestCost = cost;
    }
    return best;
}

// Returns the candidate with the fewest answers for each event; of equal ones the narrowest.
const CrashEvidence::Candidate *CrashEvidence::best(const Candidates &candidates) const
{
    const Candidate *best = nullptr;
    std::tuple<double, std::size_t, std::uint64_t> bestCost;
    for (const auto &[fingerprint, candidate] : candidates) {
        if (candidate.crashes.size() < MinCandidateEvents)
            continue;
        const std::size_t events = candidate.events();
        if (events < MinCandidateEvents)
            continue;
        const double begun = candidate.feature ? static_cast<double>(m_counts.sum(fingerprint))
                                               : WholeRequestBias;
        const std::tuple<double, std::size_t, std::uint64_t> cost{
                (begun + AnswersBias) / static_cast<double>(events),
                WholeRequestRank - candidate.rank, fingerprint};
        if (best && cost >= bestCost)
            continue;
        best = &candidate;
        bestCost = cost;
    }
    return best;
}

bool CrashEvidence::hasFewAnswers(const Candidate &candidate) const
{
    const std::size_t events = candidate.events();
    return candidate.feature && events >= MinEvents
           && static_cast<double>(m_counts.sum(candidate.fingerprint))
                      <= MaxAnswersPerEvent * static_cast<double>(events);
}

std::vector<CrashEvidence::Verdict> CrashEvidence::verdicts(TimePoint now)
{
    rotateCounts(now);
    removeExpired(now);
    std::vector<const Crash *> unexplained;
    for (const Crash &crash : m_crashes)
        unexplained.push_back(&crash);
    std::vector<Verdict> verdicts;
    for (std::size_t i = 0; i < MaxExplanations; ++i) {
        const Candidates all = candidates(unexplained);
        const Candidate *const significant = mostSignificant(all, unexplained);
        const Candidate *const chosen = significant ? significant : best(all);
        if (!chosen)
            break;
        if (significant || hasFewAnswers(*chosen)) {
            Verdict &verdict = verdicts.emplace_back();
            verdict.feature = *chosen->feature;
            verdict.events = chosen->events();
            for (const Crash *crash : chosen->crashes)
                verdict.crashes.push_back(crash->crash);
        }
        std::erase_if(unexplained, [chosen](const Crash *crash) {
            return std::find(chosen->crashes.begin(), chosen->crashes.end(), crash)
                   != chosen->crashes.end();
        });
    }
    return verdicts;
}

} // namespace currantwalk
