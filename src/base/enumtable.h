#ifndef CURRANTWALK_BASE_ENUMTABLE_H
#define CURRANTWALK_BASE_ENUMTABLE_H

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace currantwalk {

/// One row of a table that maps the values of an enum class to names.
template<typename Enum>
struct EnumName
{
    Enum value;
    std::string_view name;
};

/// Returns the name of \a value in \a table, or "unnamed" if the table does not contain it.
template<typename Enum, std::size_t Size>
constexpr std::string_view enumName(const std::array<EnumName<Enum>, Size> &table, Enum value)
{
    for (const EnumName<Enum> &row : table) {
        if (row.value == value)
            return row.name;
    }
    return "unnamed";
}

/// Returns the value with the name \a name in \a table, or std::nullopt if there is none.
template<typename Enum, std::size_t Size>
constexpr std::optional<Enum> enumValue(const std::array<EnumName<Enum>, Size> &table,
                                        std::string_view name)
{
    for (const EnumName<Enum> &row : table) {
        if (row.name == name)
            return row.value;
    }
    return std::nullopt;
}

} // namespace currantwalk

#endif // CURRANTWALK_BASE_ENUMTABLE_H
