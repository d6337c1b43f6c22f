#ifndef CURRANTWALK_LIMITS_SHARINGLIMITER_H
#define CURRANTWALK_LIMITS_SHARINGLIMITER_H

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "limits/limitaccount.h"
#include "limits/limiter.h"
#include "limits/ownership.h"
#include "limits/shareledger.h"

namespace currantwalk {

/// Each node uses its share of a limit, one node of each zone divides the zone's share among its
/// nodes, and one zone, the home, divides the whole among the zones.
class SharingLimiter : public Limiter
{
public:
    SharingLimiter(const LimiterOptions &options, LimiterHooks hooks, TimerService &timers);
    ~SharingLimiter() override;

    LimitVerdict admit(const std::string &organisation, const std::string &service,
                       bool isStream) override;
    void charge(LimitGrant grant, std::uint32_t tokens) override;
    void release(LimitGrant grant) override;
    void onObjects(const ObjectSet &objects) override;
    absl::Status onMessage(const Json::Value &message) override;
    std::size_t activeLimits() const override;

private:
    /// A zone's share, kept by its owner.
    struct ZoneShare
    {
        ZoneShare(TimePoint now) : credit(now), touchedAt(now), debtAt(now) {}

        ShareLedger nodes;
        Share fromHome;
        TimePoint fromHomeUntil{};
        std::uint32_t number = 0;
        TimePoint reportedAt{};
        TokenBucket credit; ///< Requests that no node's share covers.
        double tokenDebt = 0;
        TimePoint touchedAt;
        TimePoint debtAt;
    };

    struct Admission
    {
        std::vector<std::string> limits;
        bool isStream = false;
        TimePoint since{};
    };

    void tick();
    void evict(TimePoint now);
    std::vector<std::string> limitsOf(const std::string &organisation,
                                      const std::string &service) const;
    LimitAccount &account(const std::string &limit);
    void report(const std::string &limit, LimitAccount &account);
    void reportHome(const std::string &limit, ZoneShare &zone);
    void deliver(const VmId &to, const ShareMessage &message);
    void handle(const ShareMessage &message);
    void onNodeReport(const ShareMessage &message, const ShareReport &report);
    void onZoneReport(const ShareMessage &message, const ShareReport &report);
    void onZoneGrant(const ShareGrant &grant);
    ShareMessage makeMessage(ShareMessageKind kind) const;
    void payDebt(const std::string &limit, ZoneShare &zone, const Share &capacity);
    Share wholeOf(const std::string &limit) const;
    std::size_t zoneCount() const;
    Share zoneStanding(const std::string &limit) const;
    Share nodeStanding(const std::string &limit) const;
    Share nodeEven(const std::string &limit) const;
    Share zoneCapacity(const std::string &limit, const ZoneShare &zone) const;

    LimiterOptions m_options;
    LimiterHooks m_hooks;
    TimerService &m_timers;
    Ownership m_ownership;
    std::unordered_map<std::string, Share> m_wholes; ///< By key of the limit.
    std::unordered_map<std::string, std::string> m_limitOfOrganisation;
    std::size_t m_zonesPublished = 0;
    std::map<std::string, LimitAccount> m_accounts;
    std::map<std::string, ZoneShare> m_zoneShares;
    std::map<std::string, ShareLedger> m_homes;
    std::unordered_map<std::uint64_t, Admission> m_admissions;
    std::uint64_t m_lastGrant = 0;
    TokenBucket m_rows;
    TimerId m_timer = NoTimer;
};

} // namespace currantwalk

#endif // CURRANTWALK_LIMITS_SHARINGLIMITER_H
