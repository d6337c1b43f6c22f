#include "config/objectdiff.h"

#include <set>

#include "base/enumtable.h"
#include "base/json.h"
#include "config/objectcodec.h"

namespace currantwalk {

static constexpr std::array<EnumName<ObjectChangeKind>, 3> ChangeNames{{
        {ObjectChangeKind::Added, "added"},
        {ObjectChangeKind::Removed, "removed"},
        {ObjectChangeKind::Changed, "changed"},
}};

std::string_view objectChangeKindName(ObjectChangeKind kind)
{
    return enumName(ChangeNames, kind);
}

static std::set<std::string> memberNames(const Json::Value &first, const Json::Value &second)
{
    std::set<std::string> names;
    for (const Json::Value *value : {&first, &second}) {
        if (!value->isObject())
            continue;
        for (const std::string &name : value->getMemberNames())
            names.insert(name);
    }
    return names;
}

static const Json::Value &member(const Json::Value &value, const std::string &name)
{
    return value.isObject() && value.isMember(name) ? value[name] : Json::Value::nullSingleton();
}

static std::vector<FieldChange> diffFields(const Json::Value &from, const Json::Value &to)
{
    std::vector<FieldChange> changes;
    for (const std::string &name : memberNames(from, to)) {
        const Json::Value &before = member(from, name);
        const Json::Value &after = member(to, name);
        if (before != after)
            changes.push_back(FieldChange{name, writeJson(before), writeJson(after)});
    }
    return changes;
}

static void diffType(const std::string &type, const Json::Value &from, const Json::Value &to,
                     std::vector<ObjectChange> *changes)
{
    for (const std::string &name : memberNames(from, to)) {
        const Json::Value &before = member(from, name);
        const Json::Value &after = member(to, name);
        const std::string object = type + "/" + name;
        if (before.isNull())
            changes->push_back(ObjectChange{ObjectChangeKind::Added, object, {}});
        else if (after.isNull())
            changes->push_back(ObjectChange{ObjectChangeKind::Removed, object, {}});
        else if (before != after)
            changes->push_back(
                    ObjectChange{ObjectChangeKind::Changed, object, diffFields(before, after)});
    }
}

std::vector<ObjectChange> diffEncodedObjects(const Json::Value &from, const Json::Value &to)
{
    std::vector<ObjectChange> changes;
    for (const std::string &type : memberNames(from, to))
        diffType(type, member(from, type), member(to, type), &changes);
    return changes;
}

std::vector<ObjectChange> diffObjects(const ObjectSet &from, const ObjectSet &to)
{
    return diffEncodedObjects(encodeObjects(from), encodeObjects(to));
}

Json::Value encodeChanges(const std::vector<ObjectChange> &changes)
{
    Json::Value list(Json::arrayValue);
    for (const ObjectChange &change : changes) {
        Json::Value value(Json::objectValue);
        value["kind"] = std::string(objectChangeKindName(change.kind));
        value["object"] = change.object;
        value["fields"] = Json::Value(Json::arrayValue);
        for (const FieldChange &field : change.fields) {
            Json::Value row(Json::objectValue);
            row["field"] = field.field;
            row["before"] = field.before;
            row["after"] = field.after;
            value["fields"].append(row);
        }
        list.append(value);
    }
    return list;
}

} // namespace currantwalk
