#ifndef CURRANTWALK_CONFIG_CATALOGHOLDER_H
#define CURRANTWALK_CONFIG_CATALOGHOLDER_H

#include <memory>
#include <optional>
#include <string_view>

#include "config/servicecatalog.h"

namespace currantwalk {

/// Holds the catalogue in force on this node and the time at which it was last known to be the
/// newest. The version never decreases within a process.
class CatalogHolder
{
public:
    explicit CatalogHolder(TimerService &timers) : m_timers(timers) {}

    /// Replaces the catalogue in force; returns false if the version of \a catalog is not newer.
    bool apply(std::shared_ptr<const ServiceCatalog> catalog);
    /// Records that the catalogue in force was the newest one at \a when: a read of the store sent
    /// at that time or later returned no newer one.
    void confirmNewest(TimePoint when);

    /// Returns the catalogue in force; nullptr before the first.
    const std::shared_ptr<const ServiceCatalog> &current() const { return m_current; }
    /// Returns the time since the catalogue in force was last known to be the newest; nothing if it
    /// never was.
    std::optional<Duration> age() const;

private:
    TimerService &m_timers;
    std::shared_ptr<const ServiceCatalog> m_current;
    std::optional<TimePoint> m_confirmedAt;
};

/// The result of checking a request against the catalogue.
enum class Admission {
    Admitted,
    NoCatalog,  ///< No catalogue has been received yet.
    NoRoute,    ///< No route matches the host and path.
    MissingKey, ///< The route needs a key and the request has none.
    UnknownKey,
    StaleKeys, ///< The catalogue is older than the limit, so the key may have been revoked.
};

/// Returns "admitted", "no-catalog", "no-route", "missing-key", "unknown-key" or "stale-keys".
std::string_view admissionName(Admission admission);

/// The result of admission. The catalogue owns the route and the organisation.
struct AdmittedRequest
{
    Admission admission = Admission::NoCatalog;
    std::shared_ptr<const ServiceCatalog> catalog;
    const CatalogRoute *route = nullptr;
    const CatalogOrganisation *organisation = nullptr; ///< nullptr for an anonymous request.

    /// Returns the organisation's name; empty for an anonymous request.
    std::string_view organisationName() const
    {
        return organisation ? std::string_view(organisation->name) : std::string_view();
    }
};

/// Checks whether a request with \a host, \a path and \a key is admitted. Keys are not accepted on
/// the basis of a catalogue older than \a maxKeyAge.
AdmittedRequest admitRequest(const CatalogHolder &holder, std::string_view host,
                             std::string_view path, const std::optional<std::string> &key,
                             Duration maxKeyAge);

/// Returns whether the key of an admitted request is still valid: the catalogue in force assigns it
/// to the same organisation and is no older than \a maxKeyAge.
bool isKeyValid(const CatalogHolder &holder, const std::string &organisation,
                const std::string &key, Duration maxKeyAge);

} // namespace currantwalk

#endif // CURRANTWALK_CONFIG_CATALOGHOLDER_H
