#ifndef CURRANTWALK_CONFIG_OBJECTCODEC_H
#define CURRANTWALK_CONFIG_OBJECTCODEC_H

#include <vector>

#include <json/value.h>

#include "base/error.h"
#include "config/configfault.h"
#include "config/objects.h"

namespace currantwalk {

/// Schema version written by encodeObjects(); other versions are rejected.
constexpr unsigned ObjectSchema = 1;

/// Encodes a set in canonical form: all fields of all objects, durations with units.
Json::Value encodeObjects(const ObjectSet &objects);

/// Decodes \a types, a table of objects by type and name, into \a objects and returns all faults. A
/// field with a fault keeps its default.
std::vector<ConfigFault> decodeObjectTypes(const Json::Value &types, ObjectSet *objects);

/// Decodes the output of encodeObjects() without validating the set as a whole. Fails with
/// ConfigInvalid.
absl::StatusOr<ObjectSet> decodeObjects(const Json::Value &value);

/// Like decodeObjects(), but also validates the set as a whole. Fails with ConfigInvalid.
absl::StatusOr<ObjectSet> decodeValidObjects(const Json::Value &value);

} // namespace currantwalk

#endif // CURRANTWALK_CONFIG_OBJECTCODEC_H
