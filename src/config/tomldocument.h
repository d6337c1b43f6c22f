#ifndef CURRANTWALK_CONFIG_TOMLDOCUMENT_H
#define CURRANTWALK_CONFIG_TOMLDOCUMENT_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include <json/value.h>

namespace currantwalk {

/// A syntax error in a TOML text.
struct TomlFault
{
    std::uint32_t line = 0;
    std::string problem;
};

/// A TOML text converted to JSON values. Dates and times, which JSON lacks, become null.
struct TomlDocument
{
    Json::Value root{Json::objectValue};
    /// Line of each key and list element by its path, as in "models/restock-70b/zones[1]".
    std::map<std::string, std::uint32_t> lines;
};

/// Parses \a text into \a document; returns the first error, or nothing on success.
std::optional<TomlFault> parseToml(std::string_view text, TomlDocument *document);

} // namespace currantwalk

#endif // CURRANTWALK_CONFIG_TOMLDOCUMENT_H
