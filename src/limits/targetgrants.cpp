#include "limits/targetgrants.h"

#include <algorithm>
#include <array>

#include "base/enumtable.h"

namespace currantwalk {

// Requests that may be granted at once, and that streams may go on with beyond it. Together with
// what is granted in 4 s and used half a second later this stays below 6 times the limit and 5.
static constexpr double BaseBurst = 1;
static constexpr double BurstSeconds = 0.5;
static constexpr double BaseOverdraft = 1;
static constexpr double OverdraftSeconds = 0.5;
// Nodes that are refused come back twice as often as there are requests to grant, as not each of
// them still has one then.
static constexpr double TurnsPerRequest = 2;
static constexpr Duration MaxWait = std::chrono::seconds(2);
static constexpr Duration Retention = std::chrono::seconds(30);

static constexpr std::array<EnumName<GrantUse>, 3> GrantUseNames{{
        {GrantUse::Resume, "resume"},
        {GrantUse::First, "first"},
        {GrantUse::Repeat, "repeat"},
}};

std::string_view grantUseName(GrantUse use)
{
    return enumName(GrantUseNames, use);
}

std::optional<GrantUse> grantUseFromName(std::string_view name)
{
    return enumValue(GrantUseNames, name);
}

static Duration toDuration(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

// Returns the balance that must be left after a request has been granted.
static double reserveFor(GrantUse use, const GrantTerms &terms)
{
    switch (use) {
    case GrantUse::Resume:
        return -terms.overdraft;
    case GrantUse::First:
        return 0;
    case GrantUse::Repeat:
        return 1;
    }
    return 1;
}

GrantTerms limitTerms(double perSecond)
{
    const double rate = std::max(perSecond, TargetGrants::MinPerSecond);
    return {rate, BaseBurst + BurstSeconds * rate, BaseOverdraft + OverdraftSeconds * rate};
}

GrantTerms stricterTerms(const GrantTerms &first, const GrantTerms &second)
{
    return {std::min(first.perSecond, second.perSecond), std::min(first.burst, second.burst),
            std::min(first.overdraft, second.overdraft)};
}

void TargetGrants::refill(Account &account, const GrantTerms &terms, TimePoint now)
{
    const double seconds = std::chrono::duration<double>(now - account.filledAt).count();
    account.filledAt = now;
    account.balance = std::min(terms.burst, account.balance + account.perSecond * seconds);
    account.perSecond = terms.perSecond;
}

// An account starts with one request: another node may have granted all that is allowed until now.
GrantedRequests TargetGrants::grant(const TargetId &target, std::uint64_t startedAt,
                                    const GrantTerms &terms, GrantUse use, std::uint32_t count,
                                    TimePoint now)
{
    const double rate = terms.perSecond;
    Account &account = m_accounts.try_emplace(target, Account{startedAt, rate, 1, now, now, now})
                               .first->second;
    if (startedAt < account.startedAt)
        return {0, MaxWait};
    if (startedAt > account.startedAt)
        account = {startedAt, rate, 1, now, now, now};
    account.askedAt = now;
    refill(account, terms, now);
    GrantedRequests granted;
    const double reserve = reserveFor(use, terms);
    while (granted.count < count && account.balance - 1 >= reserve) {
        account.balance -= 1;
        ++granted.count;
    }
    if (granted.count == count)
        return granted;
    const TimePoint nextAt =
            now + std::min(MaxWait, toDuration((1 + reserve - account.balance) / rate));
    account.lastTurnAt =
            std::max(nextAt, account.lastTurnAt + toDuration(1 / (TurnsPerRequest * rate)));
    account.lastTurnAt = std::min(account.lastTurnAt, now + MaxWait);
    granted.wait = account.lastTurnAt - now;
    return granted;
}

void TargetGrants::expire(TimePoint now)
{
    std::erase_if(m_accounts,
                  [now](const auto &each) { return now - each.second.askedAt > Retention; });
}

} // namespace currantwalk
