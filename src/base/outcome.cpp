#include "base/outcome.h"

#include "base/enumtable.h"

namespace currantwalk {

static constexpr std::array<EnumName<Outcome>, 4> OutcomeNames{{
        {Outcome::Done, "done"},
        {Outcome::NotRun, "not-run"},
        {Outcome::Failed, "failed"},
        {Outcome::Unknown, "unknown"},
}};

std::string_view outcomeName(Outcome outcome)
{
    return enumName(OutcomeNames, outcome);
}

std::optional<Outcome> outcomeFromName(std::string_view name)
{
    return enumValue(OutcomeNames, name);
}

} // namespace currantwalk
