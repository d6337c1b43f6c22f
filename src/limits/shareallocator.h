#ifndef CURRANTWALK_LIMITS_SHAREALLOCATOR_H
#define CURRANTWALK_LIMITS_SHAREALLOCATOR_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/timerservice.h"
#include "limits/shares.h"

namespace currantwalk {

/// Divides one limit among requesters by granting each of them a share for a limited time. The sum
/// of the grants in force never exceeds the capacity at the time of the last grant.
class ShareAllocator
{
public:
    struct Request
    {
        std::uint32_t number = 0; ///< Increases with each report of a requester.
        Share demand;
        Share held; ///< Granted earlier by this or a previous owner, and still in force.
        double streamsInUse = 0;
    };

    struct Terms
    {
        Share capacity;
        Share guaranteed;          ///< Reserved for each holder without a grant.
        std::size_t holders = 1;   ///< Number of potential requesters.
        bool isStableOwner = true; ///< No unknown grants of a previous owner can be in force.
        Duration lifetime{0};
    };

    /// Grants a share to \a requester; returns nullopt if the request is not newer than the last
    /// one seen. Grants are max-min fair with respect to the demands of all requesters.
    std::optional<Share> grant(const std::string &requester, const Request &request,
                               const Terms &terms, TimePoint now);
    /// Returns the total demand of all requests whose grants are in force.
    Share demand(TimePoint now) const;
    /// Returns the sum of the grants that may be in force.
    Share granted(TimePoint now) const;
    double streamsInUse(TimePoint now) const;
    bool isEmpty(TimePoint now) const;

private:
    struct Entry
    {
        Request request;
        Share granted;
        TimePoint expiresAt{};
    };

    using Field = double Share::*;

    double grantField(Field field, const std::string &requester, const Terms &terms) const;
    void removeExpired(TimePoint now);

    std::map<std::string, Entry> m_entries;
};

} // namespace currantwalk

#endif // CURRANTWALK_LIMITS_SHAREALLOCATOR_H
