#include "config/objectcodec.h"

#include <cmath>
#include <limits>
#include <set>
#include <string>
#include <utility>

#include "config/durationtext.h"
#include "config/objectcheck.h"
#include "config/objectschema.h"

namespace currantwalk {

namespace {

/// Encodes the fields of one object.
class FieldEncoder
{
public:
    template<typename Member>
    void field(const char *name, const Member &member, Presence)
    {
        m_value[name] = encode(member);
    }

    template<typename Enum, std::size_t Size>
    void field(const char *name, Enum member, const std::array<EnumName<Enum>, Size> &table)
    {
        m_value[name] = std::string(enumName(table, member));
    }

    Json::Value take() { return std::move(m_value); }

private:
    static Json::Value encode(const std::string &member) { return member; }
    static Json::Value encode(bool member) { return member; }
    static Json::Value encode(double member) { return member; }
    static Json::Value encode(std::uint32_t member) { return member; }
    static Json::Value encode(Duration member) { return formatDuration(member); }
    static Json::Value encode(const std::vector<std::string> &member)
    {
        Json::Value list(Json::arrayValue);
        for (const std::string &element : member)
            list.append(element);
        return list;
    }

    Json::Value m_value{Json::objectValue};
};

class SetEncoder
{
public:
    template<typename Object>
    void type(const char *name, const std::map<std::string, Object> &objects)
    {
        Json::Value &type = m_value[name];
        type = Json::Value(Json::objectValue);
        for (const auto &[objectName, object] : objects) {
            Object copy = object;
            FieldEncoder encoder;
            visitFields(encoder, copy);
            type[objectName] = encoder.take();
        }
    }

    Json::Value take() { return std::move(m_value); }

private:
    Json::Value m_value{Json::objectValue};
};

/// Decodes the fields of one object and collects the faults.
class FieldDecoder
{
public:
    FieldDecoder(const Json::Value &value, std::string object, std::vector<ConfigFault> *faults)
        : m_value(value), m_object(std::move(object)), m_faults(faults)
    {
    }

    template<typename Member>
    void field(const char *name, Member &member, Presence presence)
    {
        m_known.insert(name);
        if (m_value.isMember(name))
            decode(name, m_value[name], member);
        else if (presence == Presence::Required)
            fault(ConfigFaultKind::MissingKey, name, "the field is missing", "set it");
    }

    template<typename Enum, std::size_t Size>
    void field(const char *name, Enum &member, const std::array<EnumName<Enum>, Size> &table)
    {
        m_known.insert(name);
        if (!m_value.isMember(name))
            return;
        const Json::Value &value = m_value[name];
        const std::optional<Enum> found =
                value.isString() ? enumValue(table, value.asString()) : std::nullopt;
        if (found) {
            member = *found;
            return;
        }
        std::string names;
        for (const EnumName<Enum> &row : table)
            names += (names.empty() ? "\"" : " or \"") + std::string(row.name) + "\"";
        fault(ConfigFaultKind::BadValue, name, "no such value", "set it to " + names);
    }

    void finish()
    {
        for (const std::string &name : m_value.getMemberNames()) {
            if (!m_known.contains(name))
                fault(ConfigFaultKind::UnknownKey, name, "unknown field",
                      "known names are " + known());
        }
    }

private:
    std::string known() const
    {
        std::string names;
        for (const std::string &name : m_known)
            names += (names.empty() ? "" : ", ") + name;
        return names;
    }

    void fault(ConfigFaultKind kind, const std::string &field, std::string problem,
               std::string remedy)
    {
        m_faults->push_back(
                ConfigFault{kind, {}, 0, m_object, field, std::move(problem), std::move(remedy)});
    }

    void addWrongTypeFault(const std::string &field, const std::string &expected)
    {
        fault(ConfigFaultKind::WrongType, field, "wrong type", "set it to " + expected);
    }

    void decode(const std::string &name, const Json::Value &value, std::string &member)
    {
        if (!value.isString())
            return addWrongTypeFault(name, "a string");
        member = value.asString();
    }

    void decode(const std::string &name, const Json::Value &value, bool &member)
    {
        if (!value.isBool())
            return addWrongTypeFault(name, "true or false");
        member = value.asBool();
    }

    void decode(const std::string &name, const Json::Value &value, double &member)
    {
        if (!value.isNumeric() || !std::isfinite(value.asDouble()))
            return addWrongTypeFault(name, "a number");
        member = value.asDouble();
    }

    // A value such as 4.0 is numeric, but not an integer in TOML.
    void decode(const std::string &name, const Json::Value &value, std::uint32_t &member)
    {
        const bool isInteger = value.type() == Json::intValue || value.type() == Json::uintValue;
        if (!isInteger)
            return addWrongTypeFault(name, "a whole number");
        if (!value.isUInt())
            return fault(ConfigFaultKind::BadValue, name, "out of range",
                         "set it between 0 and "
                                 + std::to_string(std::numeric_limits<std::uint32_t>::max()));
        member = value.asUInt();
    }

    void decode(const std::string &name, const Json::Value &value, Duration &member)
    {
        static const char *const Remedy = "write a whole number with us, ms, s, m or h: \"250ms\"";
        if (value.isNumeric())
            return fault(ConfigFaultKind::WrongUnit, name, "a duration without a unit", Remedy);
        if (!value.isString())
            return addWrongTypeFault(name, "a duration such as \"250ms\"");
        const std::optional<Duration> duration = parseDuration(value.asString());
        if (!duration)
            return fault(ConfigFaultKind::WrongUnit, name,
                         "\"" + value.asString() + "\" is not a duration", Remedy);
        member = *duration;
    }

    void decode(const std::string &name, const Json::Value &value, std::vector<std::string> &member)
    {
        if (!value.isArray())
            return addWrongTypeFault(name, "a list of strings");
        for (Json::ArrayIndex i = 0; i < value.size(); ++i) {
            if (value[i].isString())
                member.push_back(value[i].asString());
            else
                addWrongTypeFault(name + "[" + std::to_string(i) + "]", "a string");
        }
    }

    const Json::Value &m_value;
    std::string m_object;
    std::vector<ConfigFault> *m_faults;
    std::set<std::string> m_known;
};

class SetDecoder
{
public:
    SetDecoder(const Json::Value &types, std::vector<ConfigFault> *faults)
        : m_types(types), m_faults(faults)
    {
    }

    template<typename Object>
    void type(const char *name, std::map<std::string, Object> &objects)
    {
        m_known.insert(name);
        if (!m_types.isMember(name))
            return;
        const Json::Value &type = m_types[name];
        if (!type.isObject()) {
            addNotTableFault(name, std::string("write its objects as [") + name + ".NAME]");
            return;
        }
        for (const std::string &objectName : type.getMemberNames())
            decodeObject(std::string(name) + "/" + objectName, type[objectName],
                         objects[objectName], objectName);
    }

    void finish()
    {
        std::string known;
        for (const std::string &name : m_known)
            known += (known.empty() ? "" : ", ") + name;
        for (const std::string &name : m_types.getMemberNames()) {
            if (!m_known.contains(name))
                m_faults->push_back(ConfigFault{ConfigFaultKind::UnknownKey,
                                                {},
                                                0,
                                                name,
                                                {},
                                                "unknown type of object",
                                                "known names are " + known});
        }
    }

private:
    void addNotTableFault(const std::string &object, std::string remedy)
    {
        m_faults->push_back(ConfigFault{ConfigFaultKind::WrongType,
                                        {},
                                        0,
                                        object,
                                        {},
                                        "expected a table",
                                        std::move(remedy)});
    }

    template<typename Object>
    void decodeObject(const std::string &path, const Json::Value &value, Object &object,
                      const std::string &name)
    {
        object.name = name;
        if (!value.isObject()) {
            addNotTableFault(path, "write its fields as a table");
            return;
        }
        FieldDecoder decoder(value, path, m_faults);
        visitFields(decoder, object);
        decoder.finish();
    }

    const Json::Value &m_types;
    std::vector<ConfigFault> *m_faults;
    std::set<std::string> m_known;
};

} // namespace

Json::Value encodeObjects(const ObjectSet &objects)
{
    SetEncoder encoder;
    visitTypes(encoder, objects);
    Json::Value value = encoder.take();
    value["schema"] = ObjectSchema;
    return value;
}

std::vector<ConfigFault> decodeObjectTypes(const Json::Value &types, ObjectSet *objects)
{
    std::vector<ConfigFault> faults;
    SetDecoder decoder(types, &faults);
    visitTypes(decoder, *objects);
    decoder.finish();
    return faults;
}

absl::StatusOr<ObjectSet> decodeObjects(const Json::Value &value)
{
    if (!value.isObject() || !value["schema"].isUInt())
        return makeError(ErrorCode::ConfigInvalid, "the objects have no schema version");
    if (value["schema"].asUInt() != ObjectSchema)
        return makeError(ErrorCode::ConfigInvalid,
                         "unknown schema version " + std::to_string(value["schema"].asUInt()));
    Json::Value types = value;
    types.removeMember("schema");
    ObjectSet objects;
    const std::vector<ConfigFault> faults = decodeObjectTypes(types, &objects);
    if (!faults.empty())
        return makeError(ErrorCode::ConfigInvalid, summariseFaults(faults));
    return objects;
}

absl::StatusOr<ObjectSet> decodeValidObjects(const Json::Value &value)
{
    absl::StatusOr<ObjectSet> objects = decodeObjects(value);
    if (!objects.ok())
        return objects;
    const std::vector<ConfigFault> faults = checkObjects(*objects);
    if (!faults.empty())
        return makeError(ErrorCode::ConfigInvalid, summariseFaults(faults));
    return objects;
}

} // namespace currantwalk
