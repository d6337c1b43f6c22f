#ifndef CURRANTWALK_LIMITS_SHARELEDGER_H
#define CURRANTWALK_LIMITS_SHARELEDGER_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/timerservice.h"
#include "limits/shares.h"

namespace currantwalk {

/// The shares of one limit that an owner has granted to claimants, each for a time. The sum of the
/// grants that are in force never passes the capacity that was there when the last was made.
class ShareLedger
{
public:
    struct Claim
    {
        std::uint32_t number = 0; ///< Grows with each report of a claimant.
        Share demand;
        Share held; ///< Granted before, by this owner or one before it, and still in force.
        double streamsInUse = 0;
    };

    struct Terms
    {
        Share capacity;
        Share standing;          ///< Of each holder that has no grant.
        std::size_t holders = 1; ///< That may have a grant.
        bool isSettled = true;   ///< No earlier owner's grants can be in force unseen.
        Duration life{0};
    };

    /// Grants a share to \a claimant, or nothing where the claim is older than one seen before.
    /// Grants are max-min fair among the claimants' demands.
    std::optional<Share> grant(const std::string &claimant, const Claim &claim, const Terms &terms,
                               TimePoint now);
    /// Returns the demand of all claims that are in force.
    Share demand(TimePoint now) const;
    /// Returns the sum of the grants that may be in force.
    Share granted(TimePoint now) const;
    double streamsInUse(TimePoint now) const;
    bool isEmpty(TimePoint now) const;

private:
    struct Entry
    {
        Claim claim;
        Share granted;
        TimePoint expiresAt{};
    };

    using Field = double Share::*;

    double grantField(Field field, const std::string &claimant, const Terms &terms) const;
    void dropExpired(TimePoint now);

    std::map<std::string, Entry> m_entries;
};

} // namespace currantwalk

#endif // CURRANTWALK_LIMITS_SHARELEDGER_H
