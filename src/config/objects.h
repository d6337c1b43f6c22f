#ifndef CURRANTWALK_CONFIG_OBJECTS_H
#define CURRANTWALK_CONFIG_OBJECTS_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/timerservice.h"

namespace currantwalk {

/// An order of service. Rank 0 is served first and shed last.
struct PriorityObject
{
    std::string name;
    std::uint32_t rank = 0;
    Duration maxHold = std::chrono::seconds(30); ///< Longest wait at the node for room.
};

/// Allowances across the whole fleet; 0 means no allowance is set.
struct LimitObject
{
    std::string name;
    double requestsPerSecond = 0;
    double tokensPerSecond = 0; ///< Generated tokens, charged as they come.
    std::uint32_t streams = 0;  ///< Generations in progress at once.
};

/// What callers of a service are promised; see the report on service-level burn.
struct ObjectiveObject
{
    std::string name;
    Duration firstToken{0};      ///< 0 sets no bound.
    Duration tokenGap{0};        ///< 0 sets no bound.
    Duration stall{0};           ///< Longest gap that counts as no stall; 0 sets no bound.
    double share = 0.95;         ///< Of requests that must keep the bounds.
    double wholeAnswers = 0.999; ///< Of requests that must end with a whole answer.
};

/// An availability zone and the region that it is in.
struct ZoneObject
{
    std::string name;
    std::string region;
};

enum class TargetKind { Engine, Plain };

/// Targets of one kind that may stand in for one another.
struct PoolObject
{
    std::string name;
    TargetKind kind = TargetKind::Engine;
    std::vector<std::string> zones; ///< Empty: all.
    bool checksFencing = false;     ///< Engines refuse an order with an old fencing number.
    bool checksKeys = false;        ///< Plain services store idempotency keys and answer for them.
};

struct ModelObject
{
    std::string name;
    std::string pool;
    std::string weights; ///< Name in the weight store.
    std::string version; ///< Of the weights.
    std::uint32_t contextTokens = 8192;
    std::uint32_t replicas = 1; ///< Least number of engines that serve it in each zone of its pool.
};

/// Weights added to a model; callers name it as they name a model.
struct AdapterObject
{
    std::string name;
    std::string model;
    std::string weights;
    std::string version;
};

/// A group of customers of the users, told apart by API key.
struct OrganisationObject
{
    std::string name;
    std::vector<std::string> keyHashes; ///< SHA-256 of each API key, in hexadecimal.
    std::string priority;
    std::string limit;                 ///< Empty: none.
    std::vector<std::string> services; ///< That it may use; empty: all.
};

enum class ServiceKind { Generation, Plain };

/// What callers use. A generation service serves models; a plain service is routed by path.
struct ServiceObject
{
    std::string name;
    ServiceKind kind = ServiceKind::Generation;
    std::vector<std::string> models;               ///< Models and adapters of a generation service.
    std::string pool;                              ///< Of a plain service.
    std::string priority;                          ///< Empty: the organisation's.
    std::string limit;                             ///< Empty: the organisation's alone.
    std::string objective;                         ///< Empty: none.
    std::vector<std::string> idempotentMethods;    ///< Methods beside GET and HEAD that may repeat.
    Duration deadline = std::chrono::seconds(600); ///< For requests that name none.
    Duration keyWindow = std::chrono::hours(1);    ///< How long an idempotency key is remembered.
    double retryShare = 0.1;                       ///< Retries allowed for each fresh request.
};

/// A published set: all objects of a deployment. Names are unique within a type.
struct ObjectSet
{
    std::map<std::string, PriorityObject> priorities;
    std::map<std::string, LimitObject> limits;
    std::map<std::string, ObjectiveObject> objectives;
    std::map<std::string, ZoneObject> zones;
    std::map<std::string, PoolObject> pools;
    std::map<std::string, ModelObject> models;
    std::map<std::string, AdapterObject> adapters;
    std::map<std::string, OrganisationObject> organisations;
    std::map<std::string, ServiceObject> services;
};

} // namespace currantwalk

#endif // CURRANTWALK_CONFIG_OBJECTS_H
