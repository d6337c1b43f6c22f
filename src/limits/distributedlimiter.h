#ifndef CURRANTWALK_LIMITS_DISTRIBUTEDLIMITER_H
#define CURRANTWALK_LIMITS_DISTRIBUTEDLIMITER_H

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "limits/limitaccount.h"
#include "limits/limiter.h"
#include "limits/ownership.h"
#include "limits/shareallocator.h"

namespace currantwalk {

/// A limiter whose limits apply to the whole fleet. Each node uses its share of a limit, the owner
/// in each zone divides the zone's share among the zone's nodes, and the coordinator zone divides
/// the total among the zones.
class DistributedLimiter : public Limiter
{
public:
    DistributedLimiter(const LimiterOptions &options, LimiterHooks hooks, TimerService &timers);
    ~DistributedLimiter() override;

    AdmissionResult admit(const std::string &organisation, const std::string &service,
                          bool isStream) override;
    void charge(AdmissionHandle grant, std::uint32_t tokens) override;
    void release(AdmissionHandle grant) override;
    void applyObjects(const ObjectSet &objects) override;
    absl::Status onMessage(const Json::Value &message) override;
    std::size_t activeLimitCount() const override;

private:
    /// The zone's share of a limit; held by the owner of the limit in the zone.
    struct ZoneShare
    {
        ZoneShare(TimePoint now) : credit(now), lastNodeReportAt(now), debtUpdatedAt(now) {}

        ShareAllocator nodes;
        Share coordinatorGrant;
        TimePoint coordinatorGrantExpiresAt{};
        std::uint32_t number = 0;
        TimePoint reportedAt{};
        TokenBucket credit; ///< Requests not covered by any node's share.
        double tokenDebt = 0;
        TimePoint lastNodeReportAt;
        TimePoint debtUpdatedAt;
    };

    struct Admission
    {
        std::vector<std::string> limits;
        bool isStream = false;
        TimePoint startedAt{};
    };

    void tick();
    void evict(TimePoint now);
    std::vector<std::string> applicableLimits(const std::string &organisation,
                                              const std::string &service) const;
    LimitAccount &account(const std::string &limit);
    void report(const std::string &limit, LimitAccount &account);
    void reportToCoordinator(const std::string &limit, ZoneShare &zone);
    void deliver(const VmId &to, const ShareMessage &message);
    void handle(const ShareMessage &message);
    void onNodeReport(const ShareMessage &message, const ShareReport &report);
    void onZoneReport(const ShareMessage &message, const ShareReport &report);
    void onZoneGrant(const ShareGrant &grant);
    ShareMessage makeMessage(ShareMessageKind kind) const;
    void repayDebt(const std::string &limit, ZoneShare &zone, const Share &capacity);
    Share totalOf(const std::string &limit) const;
    std::size_t zoneCount() const;
    Share guaranteedZoneShare(const std::string &limit) const;
    Share guaranteedNodeShare(const std::string &limit) const;
    Share nodeEvenShare(const std::string &limit) const;
    Share zoneCapacity(const std::string &limit, const ZoneShare &zone) const;

    LimiterOptions m_options;
    LimiterHooks m_hooks;
    TimerService &m_timers;
    Ownership m_ownership;
    std::unordered_map<std::string, Share> m_totals; ///< Keyed by limit key.
    std::unordered_map<std::string, std::string> m_limitOfOrganisation;
    std::size_t m_configuredZones = 0;
    std::map<std::string, LimitAccount> m_accounts;
    std::map<std::string, ZoneShare> m_zoneShares;
    std::map<std::string, ShareAllocator> m_zoneAllocators;
    std::unordered_map<std::uint64_t, Admission> m_admissions;
    std::uint64_t m_lastAdmissionId = 0;
    TokenBucket m_reportBudget;
    TimerId m_timer = NoTimer;
};

} // namespace currantwalk

#endif // CURRANTWALK_LIMITS_DISTRIBUTEDLIMITER_H
