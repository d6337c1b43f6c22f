#include "config/configfault.h"

#include <algorithm>

#include "base/enumtable.h"

namespace currantwalk {

static constexpr std::array<EnumName<ConfigFaultKind>, 11> KindNames{{
        {ConfigFaultKind::File, "file"},
        {ConfigFaultKind::Syntax, "syntax"},
        {ConfigFaultKind::UnknownKey, "unknown-key"},
        {ConfigFaultKind::MissingKey, "missing-key"},
        {ConfigFaultKind::WrongType, "wrong-type"},
        {ConfigFaultKind::WrongUnit, "wrong-unit"},
        {ConfigFaultKind::BadValue, "bad-value"},
        {ConfigFaultKind::BadName, "bad-name"},
        {ConfigFaultKind::Duplicate, "duplicate"},
        {ConfigFaultKind::BrokenReference, "broken-reference"},
        {ConfigFaultKind::Cycle, "cycle"},
}};

std::string_view configFaultKindName(ConfigFaultKind kind)
{
    return enumName(KindNames, kind);
}

std::string formatFault(const ConfigFault &fault)
{
    std::string text;
    if (!fault.file.empty()) {
        text += fault.file + ":";
        if (fault.line > 0)
            text += std::to_string(fault.line) + ":";
        text += " ";
    }
    text += configFaultKindName(fault.kind);
    text += ": ";
    if (!fault.object.empty())
        text += fault.object + ": ";
    if (!fault.field.empty())
        text += fault.field + ": ";
    text += fault.problem;
    if (!fault.remedy.empty())
        text += "; " + fault.remedy;
    return text;
}

Json::Value encodeFault(const ConfigFault &fault)
{
    Json::Value value(Json::objectValue);
    value["kind"] = std::string(configFaultKindName(fault.kind));
    value["file"] = fault.file;
    value["line"] = fault.line;
    value["object"] = fault.object;
    value["field"] = fault.field;
    value["problem"] = fault.problem;
    value["remedy"] = fault.remedy;
    return value;
}

std::string summariseFaults(const std::vector<ConfigFault> &faults)
{
    constexpr std::size_t Shown = 3;
    std::string text;
    for (std::size_t i = 0; i < std::min(Shown, faults.size()); ++i)
        text += (i > 0 ? " | " : "") + formatFault(faults[i]);
    if (faults.size() > Shown)
        text += " | and " + std::to_string(faults.size() - Shown) + " more";
    return text;
}

} // namespace currantwalk
