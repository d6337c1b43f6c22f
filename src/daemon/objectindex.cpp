#include "daemon/objectindex.h"

#include <algorithm>
#include <array>

#include <openssl/sha.h>

namespace currantwalk {

static constexpr std::uint32_t LowestRank = 1000;

std::string sha256Hex(std::string_view text)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char *>(text.data()), text.size(), digest.data());
    static constexpr char Digits[] = "0123456789abcdef";
    std::string hex;
    for (const unsigned char byte : digest) {
        hex += Digits[byte >> 4];
        hex += Digits[byte & 0xF];
    }
    return hex;
}

ObjectIndex::ObjectIndex(const ObjectSet &objects) : m_objects(objects)
{
    for (const auto &[name, organisation] : objects.organisations) {
        for (const std::string &hash : organisation.keyHashes)
            m_organisationsByKeyHash.emplace(hash, &organisation);
    }
}

// The key is looked up by its hash, so the time taken tells nothing of the key itself.
absl::StatusOr<const OrganisationObject *> ObjectIndex::organisation(std::string_view apiKey) const
{
    const auto it = m_organisationsByKeyHash.find(sha256Hex(apiKey));
    if (apiKey.empty() || it == m_organisationsByKeyHash.end())
        return makeError(ErrorCode::Unauthenticated, "the API key is not known");
    return it->second;
}

static bool mayUse(const OrganisationObject &organisation, const std::string &service)
{
    const std::vector<std::string> &allowed = organisation.services;
    return allowed.empty() || std::find(allowed.begin(), allowed.end(), service) != allowed.end();
}

static bool isServing(const ServiceObject &service, const std::string &model)
{
    const std::vector<std::string> &models = service.models;
    return std::find(models.begin(), models.end(), model) != models.end();
}

absl::StatusOr<ModelChoice> ObjectIndex::model(const OrganisationObject &organisation,
                                               const std::string &name) const
{
    bool isKnown = false;
    for (const auto &[serviceName, service] : m_objects.services) {
        const bool isNamed = serviceName == name && !service.models.empty();
        if (service.kind != ServiceKind::Generation || (!isNamed && !isServing(service, name)))
            continue;
        isKnown = true;
        if (!mayUse(organisation, serviceName))
            continue;
        const std::string model = isNamed ? service.models.front() : name;
        return ModelChoice{&service, model, poolOf(model)};
    }
    if (isKnown)
        return makeError(ErrorCode::PermissionDenied, "the organisation may not use " + name);
    return makeError(ErrorCode::UnknownModel, "no service offers a model named " + name);
}

absl::StatusOr<const ServiceObject *>
ObjectIndex::plainService(const OrganisationObject &organisation, const std::string &name) const
{
    const auto it = m_objects.services.find(name);
    if (it == m_objects.services.end() || it->second.kind != ServiceKind::Plain)
        return makeError(ErrorCode::UnknownService, "no plain service is named " + name);
    if (!mayUse(organisation, name))
        return makeError(ErrorCode::PermissionDenied, "the organisation may not use " + name);
    return &it->second;
}

PriorityObject ObjectIndex::priority(const OrganisationObject &organisation,
                                     const ServiceObject &service) const
{
    const std::string &name = service.priority.empty() ? organisation.priority : service.priority;
    const auto it = m_objects.priorities.find(name);
    if (it != m_objects.priorities.end())
        return it->second;
    PriorityObject lowest;
    lowest.rank = LowestRank;
    return lowest;
}

std::string ObjectIndex::poolOf(const std::string &model) const
{
    const auto adapter = m_objects.adapters.find(model);
    const std::string &base = adapter == m_objects.adapters.end() ? model : adapter->second.model;
    const auto it = m_objects.models.find(base);
    return it == m_objects.models.end() ? std::string() : it->second.pool;
}

} // namespace currantwalk
