#ifndef CURRANTWALK_CONFIG_OBJECTSCHEMA_H
#define CURRANTWALK_CONFIG_OBJECTSCHEMA_H

#include <array>

#include "base/enumtable.h"
#include "config/objects.h"

namespace currantwalk {

inline constexpr std::array<EnumName<TargetKind>, 2> TargetKindNames{{
        {TargetKind::Engine, "engine"},
        {TargetKind::Plain, "plain"},
}};

inline constexpr std::array<EnumName<ServiceKind>, 2> ServiceKindNames{{
        {ServiceKind::Generation, "generation"},
        {ServiceKind::Plain, "plain"},
}};

/// Whether a field is required.
enum class Presence { Required, Optional };

// visitFields() passes each field of an object to a visitor, so that encoding and decoding share
// one list of fields. A visitor has an overload of field(name, member, presence) for each type of
// member and field(name, member, table) for enumerations.

template<typename Visitor>
void visitFields(Visitor &visitor, PriorityObject &object)
{
    visitor.field("rank", object.rank, Presence::Required);
    visitor.field("max_hold", object.maxHold, Presence::Optional);
}

template<typename Visitor>
void visitFields(Visitor &visitor, LimitObject &object)
{
    visitor.field("requests_per_second", object.requestsPerSecond, Presence::Optional);
    visitor.field("tokens_per_second", object.tokensPerSecond, Presence::Optional);
    visitor.field("streams", object.streams, Presence::Optional);
}

template<typename Visitor>
void visitFields(Visitor &visitor, ObjectiveObject &object)
{
    visitor.field("first_token", object.firstToken, Presence::Optional);
    visitor.field("token_gap", object.tokenGap, Presence::Optional);
    visitor.field("stall", object.stall, Presence::Optional);
    visitor.field("share", object.share, Presence::Optional);
    visitor.field("whole_answers", object.wholeAnswers, Presence::Optional);
}

template<typename Visitor>
void visitFields(Visitor &visitor, ZoneObject &object)
{
    visitor.field("region", object.region, Presence::Required);
}

template<typename Visitor>
void visitFields(Visitor &visitor, PoolObject &object)
{
    visitor.field("kind", object.kind, TargetKindNames);
    visitor.field("zones", object.zones, Presence::Optional);
    visitor.field("checks_fencing", object.checksFencing, Presence::Optional);
    visitor.field("checks_keys", object.checksKeys, Presence::Optional);
}

template<typename Visitor>
void visitFields(Visitor &visitor, ModelObject &object)
{
    visitor.field("pool", object.pool, Presence::Required);
    visitor.field("weights", object.weights, Presence::Required);
    visitor.field("version", object.version, Presence::Required);
    visitor.field("context_tokens", object.contextTokens, Presence::Optional);
    visitor.field("replicas", object.replicas, Presence::Optional);
}

template<typename Visitor>
void visitFields(Visitor &visitor, AdapterObject &object)
{
    visitor.field("model", object.model, Presence::Required);
    visitor.field("weights", object.weights, Presence::Required);
    visitor.field("version", object.version, Presence::Required);
}

template<typename Visitor>
void visitFields(Visitor &visitor, OrganisationObject &object)
{
    visitor.field("key_hashes", object.keyHashes, Presence::Required);
    visitor.field("priority", object.priority, Presence::Required);
    visitor.field("limit", object.limit, Presence::Optional);
    visitor.field("services", object.services, Presence::Optional);
}

template<typename Visitor>
void visitFields(Visitor &visitor, ServiceObject &object)
{
    visitor.field("kind", object.kind, ServiceKindNames);
    visitor.field("models", object.models, Presence::Optional);
    visitor.field("pool", object.pool, Presence::Optional);
    visitor.field("priority", object.priority, Presence::Optional);
    visitor.field("limit", object.limit, Presence::Optional);
    visitor.field("objective", object.objective, Presence::Optional);
    visitor.field("idempotent_methods", object.idempotentMethods, Presence::Optional);
    visitor.field("deadline", object.deadline, Presence::Optional);
    visitor.field("key_window", object.keyWindow, Presence::Optional);
    visitor.field("retry_share", object.retryShare, Presence::Optional);
}

/// Passes each type of object with its objects to \a visitor.
template<typename Visitor, typename Set>
void visitTypes(Visitor &visitor, Set &objects)
{
    visitor.type("priorities", objects.priorities);
    visitor.type("limits", objects.limits);
    visitor.type("objectives", objects.objectives);
    visitor.type("zones", objects.zones);
    visitor.type("pools", objects.pools);
    visitor.type("models", objects.models);
    visitor.type("adapters", objects.adapters);
    visitor.type("organisations", objects.organisations);
    visitor.type("services", objects.services);
}

} // namespace currantwalk

#endif // CURRANTWALK_CONFIG_OBJECTSCHEMA_H
