#include "config/servicecatalog.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <map>

#include "base/enumtable.h"

namespace currantwalk {

static constexpr std::array<EnumName<RetrySemantics>, 4> RetrySemanticsNames{{
        {RetrySemantics::Idempotent, "idempotent"},
        {RetrySemantics::AtMostOnce, "at-most-once"},
        {RetrySemantics::Stream, "stream"},
        {RetrySemantics::ResumableStream, "resumable-stream"},
}};

bool isStream(RetrySemantics rule)
{
    return rule == RetrySemantics::Stream || rule == RetrySemantics::ResumableStream;
}

bool isRepeatable(RetrySemantics rule)
{
    return rule == RetrySemantics::Idempotent || rule == RetrySemantics::ResumableStream;
}

std::string_view retrySemanticsName(RetrySemantics rule)
{
    return enumName(RetrySemanticsNames, rule);
}

std::shared_ptr<const ServiceCatalog> ServiceCatalog::create(CatalogContent content)
{
    return std::shared_ptr<const ServiceCatalog>(new ServiceCatalog(std::move(content)));
}

ServiceCatalog::ServiceCatalog(CatalogContent content) : m_content(std::move(content))
{
    for (const CatalogRoute &route : m_content.routes) {
        m_routes[route.host].emplace(route.pathPrefix, &route);
        for (const WeightedService &share : route.services) {
            const auto [it, isNew] = m_firstRanks.emplace(share.service, route.urgency);
            it->second = std::min(it->second, route.urgency);
        }
    }
    findPatientServices();
    for (const CatalogService &service : m_content.services)
        m_services.emplace(service.name, &service);
    if (!m_content.organisations)
        return;
    for (const CatalogOrganisation &organisation : *m_content.organisations) {
        for (const std::string &key : organisation.keys)
            m_keys.emplace(key, &organisation);
    }
}

// Prefixes end with a slash, so only the parts of the path that end with one are looked up.
const CatalogRoute *ServiceCatalog::findRoute(std::string_view host, std::string_view path) const
{
    const auto ofHost = m_routes.find(std::string(host));
    if (ofHost == m_routes.end())
        return nullptr;
    std::string_view rest = path.substr(0, path.find('?'));
    for (std::size_t slash = rest.rfind('/'); slash != std::string_view::npos;
         slash = slash == 0 ? std::string_view::npos : rest.rfind('/', slash - 1)) {
        const auto route = ofHost->second.find(std::string(rest.substr(0, slash + 1)));
        if (route != ofHost->second.end())
            return route->second;
    }
    return nullptr;
}

const CatalogOrganisation *ServiceCatalog::findKey(const std::string &key) const
{
    const auto it = m_keys.find(key);
    return it == m_keys.end() ? nullptr : it->second;
}

const CatalogService *ServiceCatalog::findService(const std::string &name) const
{
    const auto it = m_services.find(name);
    return it == m_services.end() ? nullptr : it->second;
}

// A route has time to wait where its objective is this many times that of a more urgent one.
static constexpr int PatienceFactor = 2;

void ServiceCatalog::findPatientServices()
{
    std::map<std::string, std::vector<const CatalogRoute *>> routes;
    for (const CatalogRoute &route : m_content.routes) {
        for (const WeightedService &share : route.services)
            routes[share.service].push_back(&route);
    }
    const auto waitsFor = [](const CatalogRoute *patient, const CatalogRoute *urgent) {
        return urgent->urgency < patient->urgency && urgent->latencyObjective > Duration::zero()
               && patient->latencyObjective >= PatienceFactor * urgent->latencyObjective;
    };
    for (const auto &[service, all] : routes) {
        for (const CatalogRoute *patient : all) {
            for (const CatalogRoute *urgent : all) {
                if (waitsFor(patient, urgent))
                    m_patientServices.insert(service);
            }
        }
    }
}

bool ServiceCatalog::hasMoreUrgentRoute(const std::string &service, std::uint32_t urgency) const
{
    const auto it = m_firstRanks.find(service);
    return it != m_firstRanks.end() && it->second < urgency;
}

const std::string &pickService(const std::vector<WeightedService> &shares, double draw)
{
    assert(!shares.empty() && "a route names a service");
    std::uint64_t total = 0;
    for (const WeightedService &share : shares)
        total += share.weight;
    double left = draw * static_cast<double>(total);
    for (const WeightedService &share : shares) {
        left -= share.weight;
        if (left < 0)
            return share.service;
    }
    return shares.back().service;
}

} // namespace currantwalk
