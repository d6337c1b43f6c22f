#ifndef CURRANTWALK_CONFIG_CONFIGFAULT_H
#define CURRANTWALK_CONFIG_CONFIGFAULT_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <json/value.h>

namespace currantwalk {

enum class ConfigFaultKind {
    File,            ///< A file can't be read.
    Syntax,          ///< The text is not valid TOML.
    UnknownKey,      ///< A type or field that is not in the schema.
    MissingKey,      ///< A required field is not set.
    WrongType,       ///< A value has the wrong type.
    WrongUnit,       ///< A duration has no unit or an unknown one.
    BadValue,        ///< A value is out of range or can't be satisfied.
    BadName,         ///< A name contains characters that are not allowed.
    Duplicate,       ///< Something that must be unique occurs twice.
    BrokenReference, ///< A referenced object is missing or of the wrong kind.
    Cycle,           ///< Objects refer to one another in a cycle.
};

/// Returns the stable name of \a kind, such as "broken-reference".
std::string_view configFaultKindName(ConfigFaultKind kind);

/// One error in a set of objects.
struct ConfigFault
{
    ConfigFaultKind kind = ConfigFaultKind::BadValue;
    std::string file;       ///< Empty if the set was not read from files.
    std::uint32_t line = 0; ///< Starts at 1; 0 if unknown.
    std::string object;     ///< Type and name, as in "models/restock-70b"; empty for the whole set.
    std::string field;      ///< Empty for the object itself; "zones[1]" for part of a list.
    std::string problem;
    std::string remedy; ///< How to fix it.
};

/// Formats a fault on one line, like a compiler diagnostic: "file:line: kind: object: field:
/// problem; remedy".
std::string formatFault(const ConfigFault &fault);
/// Encodes a fault as a JSON message.
Json::Value encodeFault(const ConfigFault &fault);
/// Formats the first three faults and the number of the remaining ones on one line.
std::string summariseFaults(const std::vector<ConfigFault> &faults);

} // namespace currantwalk

#endif // CURRANTWALK_CONFIG_CONFIGFAULT_H
