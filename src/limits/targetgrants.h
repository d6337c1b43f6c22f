#ifndef CURRANTWALK_LIMITS_TARGETGRANTS_H
#define CURRANTWALK_LIMITS_TARGETGRANTS_H

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>

#include "base/ids.h"
#include "base/timerservice.h"

namespace currantwalk {

/// What a request to a target with a limit is for; those that are listed first are served first.
enum class GrantUse {
    Resume, ///< Goes on with a stream that its caller has begun to read.
    First,  ///< The first send of a caller's request, or a call that a stream depends on.
    Repeat, ///< Another send of a request, or a call that can be left out.
};

/// Returns "resume", "first" or "repeat".
std::string_view grantUseName(GrantUse use);
std::optional<GrantUse> grantUseFromName(std::string_view name);

/// How many requests may be granted to a target.
struct GrantTerms
{
    double perSecond = 0;
    double burst = 1;     ///< Requests that may be granted at once after a time without any.
    double overdraft = 0; ///< Requests beyond that with which streams may go on.
};

/// Returns the terms for a target that names a limit of \a perSecond.
GrantTerms limitTerms(double perSecond);
/// Returns terms that keep both.
GrantTerms stricterTerms(const GrantTerms &first, const GrantTerms &second);

/// How many requests a node may send to a target, and when it may ask for more.
struct GrantedRequests
{
    std::uint32_t count = 0;
    Duration wait{0}; ///< Until another request is worth asking for; 0: at once.
};

/// Divides what targets with limits take from all nodes together. One node does so for each target,
/// request by request: below one request of a node in a second, shares of the limit would leave it
/// unused, or exceed it by the first request of each node.
class TargetGrants
{
public:
    /// Slowest rate, in requests a second, at which a target is asked whether its limit still
    /// holds.
    static constexpr double MinPerSecond = 0.25;

    /// Grants up to \a count requests to one start of a target. A start before the latest known one
    /// gets none.
    GrantedRequests grant(const TargetId &target, std::uint64_t startedAt, const GrantTerms &terms,
                          GrantUse use, std::uint32_t count, TimePoint now);
    /// Removes the targets for which nobody has asked for some time.
    void expire(TimePoint now);
    std::size_t size() const { return m_accounts.size(); }

private:
    struct Account
    {
        std::uint64_t startedAt = 0;
        double perSecond = 0;
        double balance = 0; ///< Requests; below zero where streams have gone on beyond the limit.
        TimePoint filledAt{};
        TimePoint lastTurnAt{}; ///< Told to the node that was last refused.
        TimePoint askedAt{};
    };

    static void refill(Account &account, const GrantTerms &terms, TimePoint now);

    std::map<TargetId, Account> m_accounts;
};

} // namespace currantwalk

#endif // CURRANTWALK_LIMITS_TARGETGRANTS_H
