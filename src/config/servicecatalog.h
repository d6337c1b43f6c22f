#ifndef CURRANTWALK_CONFIG_SERVICECATALOG_H
#define CURRANTWALK_CONFIG_SERVICECATALOG_H

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/error.h"
#include "base/timerservice.h"

namespace currantwalk {

/// Whether a request may be executed more than once.
enum class RetrySemantics {
    Idempotent, ///< May be executed any number of times.
    AtMostOnce,
    Stream, ///< At most once; the answer is a stream of numbered events.
    /// Any number of times; the answer is a stream of numbered events, and a run may begin after
    /// any of them.
    ResumableStream,
};

/// Returns whether the answer is a stream of events.
bool isStream(RetrySemantics rule);
/// Returns whether a request may be executed again.
bool isRepeatable(RetrySemantics rule);

/// Returns "idempotent", "at-most-once", "stream" or "resumable-stream".
std::string_view retrySemanticsName(RetrySemantics rule);

/// A service with its weight in a route's traffic split.
struct WeightedService
{
    std::string service;
    std::uint32_t weight = 1;
};

/// A route for the requests of one host below one path prefix.
struct CatalogRoute
{
    std::string name;
    std::string host;
    std::string pathPrefix; ///< Begins and ends with a slash.
    RetrySemantics rule = RetrySemantics::AtMostOnce;
    Duration timeout{0};          ///< Longest time a request may wait; 0 if not set.
    Duration latencyObjective{0}; ///< Latency objective for the answer or a stream's first event.
    /// Objective for the gap between two events of a stream; 0 if not set.
    Duration eventGapObjective{0};
    std::uint32_t urgency = 0; ///< Priority rank; 0 is served first.
    std::uint32_t maxTargets = 1;
    bool isAnonymousAllowed = false;
    std::vector<WeightedService> services; ///< Empty where the route is published without traffic.
};

/// Capacity and capabilities of a service's engines.
struct EngineCapabilities
{
    std::uint32_t slots = 0;
    std::uint32_t memoryTokens = 0;
    bool supportsMoves = false;
    bool supportsCopies = false;
};

struct CatalogService
{
    std::string name;
    std::string healthPath;
    std::uint32_t maxConnections = 0; ///< For each target, summed over all VMs; 0: no limit.
    std::optional<EngineCapabilities> engine;
    /// Requests a second that a target takes while it is cold; 0: no limit.
    double coldPerSecond = 0;
    Duration coldTime{0}; ///< How long a target is cold after it has started.
};

struct CatalogOrganisation
{
    std::string name;
    std::optional<std::uint32_t> urgency; ///< Overrides the route's.
    std::vector<std::string> keys;
};

/// Limits on the size of callers' requests.
struct CallerLimits
{
    std::size_t maxHeadBytes = 0; ///< 0: no limit.
    std::size_t maxBodyBytes = 0; ///< 0: no limit.
    Duration headTime{0};         ///< For a request's head to arrive; 0: no limit.
    Duration idleTime{0};         ///< Between two parts of a body or two requests; 0: no limit.
};

/// The content of a catalogue as published.
struct CatalogContent
{
    std::uint64_t version = 0;
    std::vector<CatalogRoute> routes;
    std::vector<CatalogService> services;
    /// Nothing where requests need no key. An empty list admits no key.
    std::optional<std::vector<CatalogOrganisation>> organisations;
    CallerLimits limits;
};

/// One published version of routes, services and organisations, indexed for look-ups.
class ServiceCatalog
{
public:
    static std::shared_ptr<const ServiceCatalog> create(CatalogContent content);

    std::uint64_t version() const { return m_content.version; }
    const CallerLimits &limits() const { return m_content.limits; }
    /// Returns the route of \a host with the longest matching prefix of \a path, or nullptr.
    const CatalogRoute *findRoute(std::string_view host, std::string_view path) const;
    /// Returns the organisation that holds \a key, or nullptr.
    const CatalogOrganisation *findKey(const std::string &key) const;
    /// Returns whether requests need a key, except on routes that allow anonymous ones.
    bool isKeyRequired() const { return m_content.organisations.has_value(); }
    const CatalogService *findService(const std::string &name) const;
    /// Returns whether \a service has a route that is more urgent than \a urgency.
    bool hasMoreUrgentRoute(const std::string &service, std::uint32_t urgency) const;
    /// Returns whether a route of \a service has time to wait for a more urgent one: its objective
    /// is at least twice as long.
    bool hasPatientRoute(const std::string &service) const
    {
        return m_patientServices.contains(service);
    }
    /// Returns whether any service has such a route.
    bool hasPatientRoutes() const { return !m_patientServices.empty(); }
    const std::vector<CatalogService> &services() const { return m_content.services; }

private:
    explicit ServiceCatalog(CatalogContent content);

    CatalogContent m_content;
    /// Routes by host and path prefix.
    std::unordered_map<std::string, std::unordered_map<std::string, const CatalogRoute *>> m_routes;
    std::unordered_map<std::string, const CatalogOrganisation *> m_keys;
    std::unordered_map<std::string, const CatalogService *> m_services;
    void findPatientServices();

    std::set<std::string> m_patientServices;
    /// Rank of the most urgent route of each service.
    std::unordered_map<std::string, std::uint32_t> m_firstRanks;
};

/// Selects a service by weight for the random number \a draw in [0, 1). \pre \a shares is not empty
const std::string &pickService(const std::vector<WeightedService> &shares, double draw);

} // namespace currantwalk

#endif // CURRANTWALK_CONFIG_SERVICECATALOG_H
