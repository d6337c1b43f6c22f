#ifndef CURRANTWALK_BLAME_POISONTRACKER_H
#define CURRANTWALK_BLAME_POISONTRACKER_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/timerservice.h"
#include "blame/crashevidence.h"

namespace currantwalk {

enum class Suspicion {
    None,
    Suspect, ///< Was sent to a target that died, and has not completed since.
    /// Two targets died, at least one of them after it had started the request. Deaths that came
    /// long after the start count half.
    Refused,
};

/// Returns "none", "suspect" or "refused".
std::string_view suspicionName(Suspicion suspicion);

/// Reports to other nodes that a target died while it ran a request.
struct PoisonReport
{
    std::uint64_t fingerprint = 0;
    TargetId target;
    Incarnation incarnation = 0;          ///< Of the target that died; each death counts once.
    std::uint32_t concurrentRequests = 0; ///< Other requests of this node at the target.
    /// Whether the target is known to have started the request, and so died after that.
    bool hasStarted = true;
    /// Whether the target had been answering the request for some time.
    bool wasAnswering = false;
    std::string subject = {}; ///< Describes the request to operators; may be empty.
    Duration age{0};          ///< Time since the death.
    /// Of a request that the target had not begun to answer.
    std::vector<RequestFeature> features = {};
    /// Whether the fingerprint is that of a feature, to which the death is due.
    bool isOfFeature = false;
    /// From the death, if it was noticed late, until it was.
    Duration noticedAfter{0};
};

/// Reports to other nodes that what was known of a request was cleared.
struct PoisonClearing
{
    std::uint64_t fingerprint = 0;
    Duration age{0}; ///< Time since; deaths before that do not count.
};

/// Reports to other nodes that one start of a target was alive during some time.
struct TargetLifetime
{
    TargetId target;
    Incarnation incarnation = 0;
    Duration ageOfStart{0}; ///< Time since the first sign of life.
    Duration ageOfEnd{0};   ///< Time since the last sign of life.
};

/// What nodes tell each other.
struct PoisonKnowledge
{
    std::vector<PoisonReport> reports;
    std::vector<PoisonClearing> clearings;
    std::vector<TargetLifetime> lifetimes;
};

/// Detects poisonous requests, which crash the targets that run them.
class PoisonTracker
{
public:
    static constexpr Duration SuspicionLifetime = std::chrono::minutes(10);
    static constexpr Duration RefusalLifetime = std::chrono::hours(1);
    /// Of requests with a feature that crashes targets, from the last death due to it.
    static constexpr Duration FeatureRefusalLifetime = std::chrono::minutes(5);

    struct Entry
    {
        std::uint64_t fingerprint = 0;
        Suspicion suspicion = Suspicion::None;
        std::string subject;
        std::vector<TargetId> deaths;
        bool isOfFeature = false;
    };

    /// What nodes have answered of the requests with a feature, or of CrashEvidence::AllRequests.
    struct FeatureAnswers
    {
        std::uint64_t feature = 0;
        CrashEvidence::Answers answers;
    };

    /// Hooks that report to other nodes.
    struct Hooks
    {
        /// Called with each death that this node detects.
        std::function<void(const PoisonReport &)> onDeath;
        /// Called when a suspect completed here; may be empty.
        std::function<void(const PoisonClearing &)> onCleared = nullptr;
        /// Called when deaths were withdrawn because the target was found alive; may be empty.
        std::function<void(const TargetLifetime &)> onWithdrawn = nullptr;
        /// Finds out how many requests with each feature all nodes have answered lately, and calls
        /// onAnswersOfAll(). If it is empty, this node's own counts decide.
        std::function<void(const std::vector<std::uint64_t> &features)> countAnswers = nullptr;
    };

    static std::unique_ptr<PoisonTracker> create(TimerService &timers, Hooks hooks);

    virtual ~PoisonTracker() = default;

    virtual Suspicion suspicion(std::uint64_t fingerprint) const = 0;
    /// Called when the request is sent; the target may be down already.
    virtual void onSent(std::uint64_t fingerprint, const TargetId &target,
                        Incarnation incarnation) = 0;
    /// Called when the target has started the request, or answered right before it was sent.
    virtual void onRunning(std::uint64_t fingerprint, const TargetId &target,
                           Incarnation incarnation) = 0;
    /// Called when a part of the target's answer to the request arrives. Deaths of this start of
    /// the target are withdrawn if the request was sent after them, or if the part arrives so much
    /// later that it can't have been on its way since.
    virtual void onAnswering(std::uint64_t fingerprint, const TargetId &target) = 0;
    /// Sets the text that describes a running request to operators.
    virtual void setSubject(std::uint64_t fingerprint, const TargetId &target,
                            std::string subject) = 0;
    /// Sets what a running request has in common with others, the most common feature first.
    virtual void setFeatures(std::uint64_t fingerprint, const TargetId &target,
                             std::vector<RequestFeature> features) = 0;
    /// Returns what was answered here lately of the requests with the feature, or of
    /// CrashEvidence::AllRequests.
    virtual CrashEvidence::Answers answersHere(std::uint64_t feature) = 0;
    /// Returns for how long answers have been counted here.
    virtual Duration countingTime() const = 0;
    /// Called with how many requests with each feature all nodes have answered lately, and whether
    /// enough of them have told.
    virtual void onAnswersOfAll(const std::vector<FeatureAnswers> &answers, bool isKnown) = 0;
    /// Called when the node gave up waiting for the target's answer. If the target was silent and
    /// turns out to have died, it counts as a death.
    virtual void onAbandoned(std::uint64_t fingerprint, const TargetId &target) = 0;
    /// Called when the request completed, was cancelled or was moved while the target was alive.
    /// Completion clears a suspicion.
    virtual void onReleased(std::uint64_t fingerprint, const TargetId &target, bool isComplete) = 0;
    /// Called when the request lost its connection to a target that is not yet known to be dead.
    /// Counts as the death of that incarnation, which is not counted again once it is confirmed.
    virtual void onLost(std::uint64_t fingerprint, const TargetId &target,
                        Incarnation incarnation) = 0;
    virtual void onTargetDied(const TargetId &target, Incarnation incarnation) = 0;
    /// Called when the target disappeared without having announced it. It may still be answering,
    /// so only requests to which it is silent count.
    virtual void onTargetVanished(const TargetId &target) = 0;
    /// Returns whether the report added anything.
    virtual bool onReport(const PoisonReport &report) = 0;
    /// Removes the record of a fingerprint; called on request of an operator. Reports of earlier
    /// deaths are ignored from now on.
    virtual void clear(std::uint64_t fingerprint) = 0;
    /// Returns whether the clearing was not known.
    virtual bool onClearing(const PoisonClearing &clearing) = 0;
    /// Withdraws the deaths that the lifetime refutes; returns whether there were any.
    virtual bool onLifetime(const TargetLifetime &lifetime) = 0;
    /// Called at intervals of less than half a second, by which a suspension of the node is
    /// detected.
    virtual void onTick() = 0;
    virtual std::vector<Entry> entries() const = 0;
    /// Returns the recorded deaths, those of refused requests first, of at most \a maxRequests
    /// requests.
    virtual std::vector<PoisonReport> reports(std::size_t maxRequests) const = 0;
    /// Returns the recorded deaths of one request.
    virtual std::vector<PoisonReport> reportsOf(std::uint64_t fingerprint) const = 0;
    virtual std::vector<PoisonClearing> clearings() const = 0;
    /// Returns the fingerprint of the request, or of one of its features, that is refused.
    std::optional<std::uint64_t> findRefused(std::uint64_t fingerprint,
                                             const std::vector<RequestFeature> &features) const;
    /// Returns what a node that has missed all messages needs, of at most \a maxRequests requests.
    PoisonKnowledge knowledge(std::size_t maxRequests) const;
    /// Applies what another node knows; returns whether that added anything.
    bool apply(const PoisonKnowledge &knowledge);
};

} // namespace currantwalk

#endif // CURRANTWALK_BLAME_POISONTRACKER_H
