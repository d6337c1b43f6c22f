#ifndef CURRANTWALK_DAEMON_OBJECTINDEX_H
#define CURRANTWALK_DAEMON_OBJECTINDEX_H

#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

#include "base/error.h"
#include "config/objects.h"

namespace currantwalk {

/// A generation service and the model of it that a caller named.
struct ModelChoice
{
    const ServiceObject *service = nullptr;
    std::string model; ///< Name of a model or adapter, as engines know it.
    std::string pool;
};

/// Look-ups over a published set that the path of a request needs.
class ObjectIndex
{
public:
    /// Keeps a reference to \a objects.
    explicit ObjectIndex(const ObjectSet &objects);

    /// Returns the organisation that an API key belongs to. Fails with Unauthenticated.
    absl::StatusOr<const OrganisationObject *> organisation(std::string_view apiKey) const;
    /// Finds the model that a caller named: by the name of a generation service, a model or an
    /// adapter. Fails with UnknownModel, or PermissionDenied where the organisation may not use it.
    absl::StatusOr<ModelChoice> model(const OrganisationObject &organisation,
                                      const std::string &name) const;
    /// Finds a plain service by name. Fails with UnknownService or PermissionDenied.
    absl::StatusOr<const ServiceObject *> plainService(const OrganisationObject &organisation,
                                                       const std::string &name) const;
    /// Returns the priority in force for a request; one of lowest rank where none is named.
    PriorityObject priority(const OrganisationObject &organisation,
                            const ServiceObject &service) const;
    /// Returns the pool of a model or adapter; empty where it is not known.
    std::string poolOf(const std::string &model) const;
    const ObjectSet &objects() const { return m_objects; }

private:
    const ObjectSet &m_objects;
    std::unordered_map<std::string, const OrganisationObject *> m_organisationsByKeyHash;
};

/// Returns the SHA-256 of \a text in hexadecimal.
std::string sha256Hex(std::string_view text);

} // namespace currantwalk

#endif // CURRANTWALK_DAEMON_OBJECTINDEX_H
