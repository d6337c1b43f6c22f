#include "targets/target.h"

#include <array>

#include "base/enumtable.h"

namespace currantwalk {

static constexpr std::array<EnumName<TargetState>, 3> TargetStateNames{{
        {TargetState::Live, "live"},
        {TargetState::Leaving, "leaving"},
        {TargetState::Gone, "gone"},
}};

std::string_view targetStateName(TargetState state)
{
    return enumName(TargetStateNames, state);
}

std::optional<TargetState> targetStateFromName(std::string_view name)
{
    return enumValue(TargetStateNames, name);
}

bool Target::isServing(std::string_view model) const
{
    for (const LoadedModel &loaded : models) {
        if (loaded.name == model)
            return true;
    }
    return false;
}

} // namespace currantwalk
