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
    Syntax,          ///< The text is no TOML.
    UnknownKey,      ///< A type or field that the schema lacks.
    MissingKey,      ///< A field that must be set is not.
    WrongType,       ///< A value of another type.
    WrongUnit,       ///< A duration without a unit, or with another one.
    BadValue,        ///< A value that can't be met, or is out of its bounds.
    BadName,         ///< A name with characters that can't stand in one.
    Duplicate,       ///< Something that must be unique stands twice.
    BrokenReference, ///< A name of an object that isn't there, or is of another kind.
    Cycle,           ///< Objects that refer to one another in a circle.
};

/// Returns the stable name of \a kind, such as "broken-reference".
std::string_view configFaultKindName(ConfigFaultKind kind);

/// One thing that is wrong with a set of objects.
struct ConfigFault
{
    ConfigFaultKind kind = ConfigFaultKind::BadValue;
    std::string file;       ///< Empty where the set did not come from files.
    std::uint32_t line = 0; ///< From 1; 0 where not known.
    std::string object;     ///< Type and name, as in "models/restock-70b"; empty for the whole set.
    std::string field;      ///< Empty for the object itself; "zones[1]" for part of a list.
    std::string problem;
    std::string remedy; ///< What would mend it.
};

/// Writes a fault on one line, as compilers do: "file:line: kind: object: field: problem; remedy".
std::string formatFault(const ConfigFault &fault);
/// Writes a fault as a message.
Json::Value encodeFault(const ConfigFault &fault);
/// Writes the first few faults on one line and the number of all.
std::string summariseFaults(const std::vector<ConfigFault> &faults);

} // namespace currantwalk

#endif // CURRANTWALK_CONFIG_CONFIGFAULT_H
