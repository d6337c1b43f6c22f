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

/// A priority class. Rank 0 is served first and shed last.
struct PriorityObject
{
    std::string name;
    std::uint32_t rank = 0;
    Duration maxHold = std::chrono::seconds(30); ///< Longest wait at the node for capacity.
};

/// Rate limits across the whole fleet; 0 means no limit.
struct LimitObject
{
    std::string name;
    double requestsPerSecond = 0;
    double tokensPerSecond = 0; ///< Generated tokens, charged as they are produced.
    std::uint32_t streams = 0;  ///< Generations in progress at once.
};

/// A service-level objective; see the report on service-level burn.
struct ObjectiveObject
{
    std::string name;
    Duration firstToken{0};      ///< 0 sets no bound.
    Duration tokenGap{0};        ///< 0 sets no bound.
    Duration stall{0};           ///< A longer gap counts as a stall; 0 sets no bound.
    double share = 0.95;         ///< Share of requests that must stay within the bounds.
    double wholeAnswers = 0.999; ///< Share of requests that must get a complete answer.
};

/// An availability zone and the region that it is in.
struct ZoneObject
{
    std::string name;
    std::string region;
};

enum class TargetKind { Engine, Plain };

/// Interchangeable targets of one kind.
struct PoolObject
{
    std::string name;
    TargetKind kind = TargetKind::Engine;
    std::vector<std::string> zones; ///< Empty: all.
    bool checksFencing = false;     ///< Engines reject orders with an old fencing number.
    bool checksKeys = false; ///< Plain services store idempotency keys and can be queried for them.
};

struct ModelObject
{
    std::string name;
    std::string pool;
    std::string weights; ///< Name in the weight store.
    std::string version; ///< Of the weights.
    std::uint32_t contextTokens = 8192;
    std::uint32_t replicas = 1; ///< Minimum number of engines in each zone of its pool.
};

/// Adapter weights for a model; callers select it by name like a model.
struct AdapterObject
{
    std::string name;
    std::string model;
    std::string weights;
    std::string version;
};

/// A group of callers identified by its API keys.
struct OrganisationObject
{
    std::string name;
    std::vector<std::string> keyHashes; ///< SHA-256 of each API key, in hexadecimal.
    std::string priority;
    std::string limit;                 ///< Empty: none.
    std::vector<std::string> services; ///< Services it may use; empty: all.
};

enum class ServiceKind { Generation, Plain };

/// A service offered to callers. A generation service serves models; a plain one is routed by path.
struct ServiceObject
{
    std::string name;
    ServiceKind kind = ServiceKind::Generation;
    std::vector<std::string> models;               ///< Models and adapters of a generation service.
    std::string pool;                              ///< Pool of a plain service.
    std::string priority;                          ///< Empty: the organisation's priority.
    std::string limit;                             ///< Empty: only the organisation's limit.
    std::string objective;                         ///< Empty: none.
    std::vector<std::string> idempotentMethods;    ///< Idempotent methods besides GET and HEAD.
    Duration deadline = std::chrono::seconds(600); ///< Default for requests without a deadline.
    Duration keyWindow = std::chrono::hours(1);    ///< Retention of an idempotency key.
    double retryShare = 0.1; ///< Retry budget: retries allowed per new request.
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
