#include "config/tomldocument.h"

#include <algorithm>

#include "base/json.h"
#include "config/tomllibrary.h"

namespace currantwalk {

namespace {

/// Finds non-ASCII characters outside of strings and comments.
class NonAsciiScanner
{
public:
    explicit NonAsciiScanner(std::string_view text) : m_rest(text) {}

    /// Returns the line of the first such character, or nothing.
    std::optional<std::uint32_t> firstNonAsciiLine()
    {
        while (!m_rest.empty()) {
            const char c = m_rest.front();
            if (static_cast<unsigned char>(c) >= 0x80)
                return m_line;
            if (c == '#')
                skipComment();
            else if (c == '"' || c == '\'')
                skipString(c);
            else
                consume(1);
        }
        return std::nullopt;
    }

private:
    void consume(std::size_t count)
    {
        const std::string_view consumed = m_rest.substr(0, count);
        m_line += static_cast<std::uint32_t>(std::count(consumed.begin(), consumed.end(), '\n'));
        m_rest.remove_prefix(consumed.size());
    }

    void skipComment() { consume(std::min(m_rest.find('\n'), m_rest.size())); }

    void skipString(char quote)
    {
        const std::string triple(3, quote);
        const bool isMultiLine = m_rest.substr(0, 3) == triple;
        const std::string close = isMultiLine ? triple : std::string(1, quote);
        consume(close.size());
        while (!m_rest.empty() && m_rest.substr(0, close.size()) != close) {
            // An unterminated single-line string ends at the line break; the parser reports the
            // error.
            if (!isMultiLine && m_rest.front() == '\n')
                return;
            const bool isEscape = quote == '"' && m_rest.front() == '\\';
            consume(isEscape ? 2 : 1);
        }
        consume(close.size());
    }

    std::string_view m_rest;
    std::uint32_t m_line = 1;
};

/// Converts the library's tree to JSON values and records the line of each value.
class TreeConverter
{
public:
    explicit TreeConverter(TomlDocument *document) : m_document(document) {}

    Json::Value table(const toml::table &table, const std::string &path)
    {
        Json::Value result(Json::objectValue);
        for (const auto &[key, node] : table) {
            const std::string name(key.str());
            const std::string memberPath = path.empty() ? name : path + "/" + name;
            m_document->lines.emplace(memberPath, key.source().begin.line);
            result[name] = value(node, memberPath);
        }
        return result;
    }

private:
    Json::Value array(const toml::array &array, const std::string &path)
    {
        Json::Value result(Json::arrayValue);
        for (const toml::node &node : array) {
            const std::string elementPath = path + "[" + std::to_string(result.size()) + "]";
            m_document->lines.emplace(elementPath, node.source().begin.line);
            result.append(value(node, elementPath));
        }
        return result;
    }

    Json::Value value(const toml::node &node, const std::string &path)
    {
        if (const toml::table *child = node.as_table())
            return table(*child, path);
        if (const toml::array *child = node.as_array())
            return array(*child, path);
        if (const toml::value<std::string> *text = node.as_string())
            return text->get();
        if (const toml::value<std::int64_t> *integer = node.as_integer())
            return Json::Value(Json::Int64(integer->get()));
        if (const toml::value<double> *number = node.as_floating_point())
            return number->get();
        if (const toml::value<bool> *flag = node.as_boolean())
            return flag->get();
        return Json::Value();
    }

    TomlDocument *m_document;
};

} // namespace

// Maps each character from U+0080 to U+FFFF one-to-one to the private use planes. In a malformed
// text the library checks whether such a character is white space, and its incomplete lookup table
// for that range causes undefined behaviour. It has no table beyond U+FFFF.
static std::string mapBmpToPrivateUse(std::string_view text)
{
    constexpr char32_t PrivateUsePlane = 0xF0000;
    const auto byteAt = [text](std::size_t i) { return static_cast<unsigned char>(text[i]); };
    const auto tail = [](char32_t bits) { return static_cast<char>(0x80U | (bits & 0x3FU)); };
    std::string mapped;
    for (std::size_t i = 0; i < text.size();) {
        const unsigned char lead = byteAt(i);
        const std::size_t length = lead < 0x80 ? 1 : lead < 0xE0 ? 2 : lead < 0xF0 ? 3 : 4;
        if (length == 1 || length == 4) {
            mapped.append(text.substr(i, length));
        } else {
            char32_t point = length == 2 ? lead & 0x1FU : lead & 0x0FU;
            for (std::size_t k = 1; k < length; ++k)
                point = (point << 6U) | (byteAt(i + k) & 0x3FU);
            point += PrivateUsePlane;
            mapped += static_cast<char>(0xF0U | (point >> 18U));
            mapped += tail(point >> 12U);
            mapped += tail(point >> 6U);
            mapped += tail(point);
        }
        i += length;
    }
    return mapped;
}

static std::optional<TomlFault> parseFault(const toml::parse_result &result)
{
    if (result)
        return std::nullopt;
    const toml::parse_error &error = result.error();
    return TomlFault{error.source().begin.line, std::string(error.description())};
}

std::optional<TomlFault> parseToml(std::string_view text, TomlDocument *document)
{
    if (!isValidUtf8(text))
        return TomlFault{1, "the text is not UTF-8"};
    // The library mishandles such characters in bare keys, where TOML does not allow them anyway.
    const std::optional<std::uint32_t> line = NonAsciiScanner(text).firstNonAsciiLine();
    if (line)
        return TomlFault{*line, "a character that is not ASCII outside of strings and comments"};
    if (const std::optional<TomlFault> fault = parseFault(toml::parse(mapBmpToPrivateUse(text))))
        return fault;
    const toml::parse_result result = toml::parse(text);
    if (const std::optional<TomlFault> fault = parseFault(result))
        return fault;
    document->root = TreeConverter(document).table(result.table(), {});
    return std::nullopt;
}

} // namespace currantwalk
