#include "config/catalogholder.h"

#include <algorithm>
#include <array>

#include "base/enumtable.h"

namespace currantwalk {

static constexpr std::array<EnumName<Admission>, 6> AdmissionNames{{
        {Admission::Admitted, "admitted"},
        {Admission::NoCatalog, "no-catalog"},
        {Admission::NoRoute, "no-route"},
        {Admission::MissingKey, "missing-key"},
        {Admission::UnknownKey, "unknown-key"},
        {Admission::StaleKeys, "stale-keys"},
}};

std::string_view admissionName(Admission admission)
{
    return enumName(AdmissionNames, admission);
}

bool CatalogHolder::apply(std::shared_ptr<const ServiceCatalog> catalog)
{
    if (m_current && catalog->version() <= m_current->version())
        return false;
    m_current = std::move(catalog);
    return true;
}

void CatalogHolder::confirmNewest(TimePoint when)
{
    if (m_current)
        m_confirmedAt = std::max(when, m_confirmedAt.value_or(when));
}

std::optional<Duration> CatalogHolder::age() const
{
    if (!m_confirmedAt)
        return std::nullopt;
    return m_timers.now() - *m_confirmedAt;
}

static bool isFresh(const CatalogHolder &holder, Duration maxKeyAge)
{
    const std::optional<Duration> age = holder.age();
    return age && *age <= maxKeyAge;
}

// A route or key missing from a stale catalogue may have been added since, so the result is
// StaleKeys, which callers may retry, rather than NoRoute or UnknownKey. A key that a request
// carries is checked also where none is needed: it may have been revoked.
AdmittedRequest admitRequest(const CatalogHolder &holder, std::string_view host,
                             std::string_view path, const std::optional<std::string> &key,
                             Duration maxKeyAge)
{
    AdmittedRequest result;
    result.catalog = holder.current();
    if (!result.catalog)
        return result;
    const bool isCurrent = isFresh(holder, maxKeyAge);
    result.route = result.catalog->findRoute(host, path);
    if (!result.route) {
        result.admission = isCurrent ? Admission::NoRoute : Admission::StaleKeys;
        return result;
    }
    if (!key && (result.route->isAnonymousAllowed || !result.catalog->isKeyRequired())) {
        result.admission = Admission::Admitted;
    } else if (!isCurrent) {
        result.admission = Admission::StaleKeys;
    } else if (!key) {
        result.admission = Admission::MissingKey;
    } else {
        result.organisation = result.catalog->findKey(*key);
        result.admission = result.organisation ? Admission::Admitted : Admission::UnknownKey;
    }
    return result;
}

bool isKeyValid(const CatalogHolder &holder, const std::string &organisation,
                const std::string &key, Duration maxKeyAge)
{
    if (!holder.current() || !isFresh(holder, maxKeyAge))
        return false;
    const CatalogOrganisation *const owner = holder.current()->findKey(key);
    return owner && owner->name == organisation;
}

} // namespace currantwalk
