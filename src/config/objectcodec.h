#ifndef CURRANTWALK_CONFIG_OBJECTCODEC_H
#define CURRANTWALK_CONFIG_OBJECTCODEC_H

#include <vector>

#include <json/value.h>

#include "base/error.h"
#include "config/configfault.h"
#include "config/objects.h"

namespace currantwalk {

/// Version of the form that encodeObjects() writes; others are refused.
constexpr unsigned ObjectSchema = 1;

/// Writes a set in its one canonical form: all fields of all objects, durations with their units.
Json::Value encodeObjects(const ObjectSet &objects);

/// Reads objects by type and name from \a types into \a objects and returns all that is wrong.
/// A field that is wrong keeps its default.
std::vector<ConfigFault> decodeObjectTypes(const Json::Value &types, ObjectSet *objects);

/// Reads what encodeObjects() wrote, unchecked as a whole. Fails with ConfigInvalid.
absl::StatusOr<ObjectSet> decodeObjects(const Json::Value &value);

/// Does the same and checks the set as a whole. Fails with ConfigInvalid.
absl::StatusOr<ObjectSet> decodeSoundObjects(const Json::Value &value);

} // namespace currantwalk

#endif // CURRANTWALK_CONFIG_OBJECTCODEC_H
