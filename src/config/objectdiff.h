#ifndef CURRANTWALK_CONFIG_OBJECTDIFF_H
#define CURRANTWALK_CONFIG_OBJECTDIFF_H

#include <string>
#include <string_view>
#include <vector>

#include <json/value.h>

#include "config/objects.h"

namespace currantwalk {

enum class ObjectChangeKind { Added, Removed, Changed };

/// Returns "added", "removed" or "changed".
std::string_view objectChangeKindName(ObjectChangeKind kind);

/// A changed field with both values as one-line JSON.
struct FieldChange
{
    std::string field;
    std::string before;
    std::string after;
};

struct ObjectChange
{
    ObjectChangeKind kind = ObjectChangeKind::Changed;
    std::string object;              ///< Type and name, as in "models/restock-70b".
    std::vector<FieldChange> fields; ///< Only for Changed.
};

/// Returns the changes from one set to another, ordered by type and name.
std::vector<ObjectChange> diffObjects(const ObjectSet &from, const ObjectSet &to);
/// Like diffObjects(), for two sets encoded by encodeObjects().
std::vector<ObjectChange> diffEncodedObjects(const Json::Value &from, const Json::Value &to);

/// Encodes changes as a JSON message.
Json::Value encodeChanges(const std::vector<ObjectChange> &changes);

} // namespace currantwalk

#endif // CURRANTWALK_CONFIG_OBJECTDIFF_H
