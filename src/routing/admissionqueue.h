#ifndef CURRANTWALK_ROUTING_ADMISSIONQUEUE_H
#define CURRANTWALK_ROUTING_ADMISSIONQUEUE_H

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <tuple>
#include <unordered_map>

#include "routing/policy.h"

namespace currantwalk {

/// Queues requests at the node while the policy finds no target with room for them. Requests are
/// retried in order of priority, then short before long, then by arrival. A queued request blocks
/// only requests for the same model of equal or lower priority that are at least as long.
class AdmissionQueue
{
public:
    struct Hooks
    {
        /// Returns the live targets that can serve the request.
        std::function<std::vector<const Target *>(const RoutingRequest &request)> candidates;
        /// Sends the request to the chosen target. Called after RoutingPolicy::onPlaced().
        std::function<void(const RoutingRequest &request, const RoutingDecision &decision)> place;
        /// Refuses the request, which has not been sent to any target.
        std::function<void(const RoutingRequest &request, const RoutingDecision &decision)> shed;
    };

    /// \a policy and \a timers must outlive the result.
    static std::unique_ptr<AdmissionQueue> create(RoutingPolicy &policy, Hooks hooks,
                                                  TimerService &timers);
    ~AdmissionQueue();
    AdmissionQueue(const AdmissionQueue &) = delete;
    AdmissionQueue &operator=(const AdmissionQueue &) = delete;

    /// Places, queues or sheds a request.
    void submit(RoutingRequest request);
    /// Removes a queued request whose caller has disconnected. Returns false if it is not queued.
    bool cancel(const RequestId &request);
    /// Retries queued requests. Called when capacity may have become available: a generation ended,
    /// or a load report or a new target arrived.
    void onCapacityChange();

    std::size_t heldCount() const { return m_held.size(); }

private:
    /// Identifies a first-in, first-out queue of held requests.
    struct QueueKey
    {
        bool isIndependent = false; ///< Neither blocks other requests nor is blocked by them.
        std::uint32_t rank = 0;
        std::uint32_t lengthClass = 0;
        std::string model;

        friend bool operator==(const QueueKey &, const QueueKey &) = default;
        friend bool operator<(const QueueKey &a, const QueueKey &b)
        {
            return std::tie(a.isIndependent, a.rank, a.lengthClass, a.model)
                   < std::tie(b.isIndependent, b.rank, b.lengthClass, b.model);
        }
    };
    using Deadlines = std::multimap<TimePoint, RequestId>;
    struct Held
    {
        RoutingRequest request;
        RoutingDecision lastDecision;
        Deadlines::iterator deadline;
    };
    using Queue = std::list<Held>;
    struct QueuePosition
    {
        QueueKey key;
        Queue::iterator held;
    };

    AdmissionQueue(RoutingPolicy &policy, Hooks hooks, TimerService &timers);

    static QueueKey queueKey(const RoutingRequest &request, const RoutingDecision &decision);
    static bool blocks(const QueueKey &first, const QueueKey &second);
    bool isBlocked(const QueueKey &key) const;
    void retryHeld();
    bool retryRequest(const RequestId &request);
    bool retryQueue(const QueueKey &key);
    Held removeHeld(const RequestId &request);
    void shedExpired();
    void finish(const RoutingRequest &request, const RoutingDecision &decision);
    void scheduleRetry(TimePoint when);

    RoutingPolicy &m_policy;
    Hooks m_hooks;
    TimerService &m_timers;
    std::map<QueueKey, Queue> m_queues;
    std::unordered_map<RequestId, QueuePosition> m_held;
    Deadlines m_deadlines;
    TimerId m_timer = NoTimer;
    TimePoint m_timerAt{};
    bool m_isRetrying = false;
    bool m_hasChanged = false;
};

} // namespace currantwalk

#endif // CURRANTWALK_ROUTING_ADMISSIONQUEUE_H
