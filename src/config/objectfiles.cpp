#include "config/objectfiles.h"

#include <algorithm>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <map>
#include <optional>
#include <set>
#include <sstream>
#include <system_error>
#include <tuple>

#include "config/objectcheck.h"
#include "config/objectcodec.h"
#include "config/tomldocument.h"

namespace currantwalk {

namespace {

struct SourcePosition
{
    std::string file;
    std::uint32_t line = 0;
};

/// Merges the objects of several files and records the position of each value.
class FileMerger
{
public:
    void add(const ObjectFile &file)
    {
        TomlDocument document;
        const std::optional<TomlFault> problem = parseToml(file.text, &document);
        if (problem) {
            m_faults.push_back(ConfigFault{ConfigFaultKind::Syntax,
                                           file.path,
                                           problem->line,
                                           {},
                                           {},
                                           problem->problem,
                                           "write it as TOML"});
            return;
        }
        for (const std::string &type : document.root.getMemberNames())
            addType(file.path, type, document.root[type], document.lines);
    }

    LoadedObjects finish()
    {
        LoadedObjects result;
        const std::vector<ConfigFault> decoding = decodeObjectTypes(m_types, &result.objects);
        std::set<std::string> faulty;
        for (const ConfigFault &fault : decoding) {
            faulty.insert(fault.object + "/" + fault.field);
            m_faults.push_back(located(fault));
        }
        // A field that could not be decoded has its default; faults of the default would be
        // misleading.
        for (const ConfigFault &fault : checkObjects(result.objects)) {
            if (!faulty.contains(fault.object + "/" + fault.field))
                m_faults.push_back(located(fault));
        }
        std::stable_sort(m_faults.begin(), m_faults.end(), isBefore);
        result.faults = std::move(m_faults);
        return result;
    }

private:
    static bool isBefore(const ConfigFault &left, const ConfigFault &right)
    {
        return std::tie(left.file, left.line) < std::tie(right.file, right.line);
    }

    void addType(const std::string &file, const std::string &type, const Json::Value &objects,
                 const std::map<std::string, std::uint32_t> &lines)
    {
        m_positions.try_emplace(type, SourcePosition{file, lines.at(type)});
        if (!objects.isObject()) {
            m_types[type] = objects;
            return;
        }
        if (!m_types.isMember(type))
            m_types[type] = Json::Value(Json::objectValue);
        for (const std::string &name : objects.getMemberNames())
            addObject(file, type, name, objects[name], lines);
    }

    void addObject(const std::string &file, const std::string &type, const std::string &name,
                   const Json::Value &object, const std::map<std::string, std::uint32_t> &lines)
    {
        const std::string path = type + "/" + name;
        const auto known = m_positions.find(path);
        if (known != m_positions.end()) {
            const SourcePosition &first = known->second;
            m_faults.push_back(
                    ConfigFault{ConfigFaultKind::Duplicate,
                                file,
                                lines.at(path),
                                path,
                                {},
                                "already given at " + first.file + ":" + std::to_string(first.line),
                                "remove or rename one"});
            return;
        }
        if (!m_types[type].isObject())
            return;
        m_types[type][name] = object;
        for (auto it = lines.lower_bound(path); it != lines.end(); ++it) {
            if (it->first.compare(0, path.size(), path) != 0)
                break;
            if (isPathOf(it->first, path.size()))
                m_positions.try_emplace(it->first, SourcePosition{file, it->second});
        }
    }

    // "models/a" is a prefix of its fields, such as "models/a/pool" or "models/a/zones[0]", but
    // also of the unrelated "models/a-b".
    static bool isPathOf(const std::string &path, std::size_t objectLength)
    {
        return path.size() == objectLength || path[objectLength] == '/';
    }

    ConfigFault located(ConfigFault fault) const
    {
        auto it = m_positions.find(fault.object + "/" + fault.field);
        if (fault.field.empty() || it == m_positions.end())
            it = m_positions.find(fault.object);
        if (it == m_positions.end())
            return fault;
        fault.file = it->second.file;
        fault.line = it->second.line;
        return fault;
    }

    Json::Value m_types{Json::objectValue};
    std::map<std::string, SourcePosition> m_positions;
    std::vector<ConfigFault> m_faults;
};

} // namespace

LoadedObjects loadObjects(const std::vector<ObjectFile> &files)
{
    FileMerger merger;
    for (const ObjectFile &file : files)
        merger.add(file);
    return merger.finish();
}

static std::optional<std::string> readFile(const std::string &path)
{
    std::ifstream stream(path, std::ios::binary);
    std::ostringstream text;
    if (!stream || !(text << stream.rdbuf()))
        return std::nullopt;
    return text.str();
}

static std::vector<std::string> tomlFilesOf(const std::string &path)
{
    std::vector<std::string> result;
    std::error_code error;
    for (const std::filesystem::directory_entry &entry :
         std::filesystem::directory_iterator(path, error)) {
        if (entry.path().extension() == ".toml")
            result.push_back(entry.path().string());
    }
    std::sort(result.begin(), result.end());
    return result;
}

LoadedObjects loadObjectPaths(const std::vector<std::string> &paths)
{
    std::vector<ObjectFile> files;
    std::vector<ConfigFault> unreadable;
    const auto fault = [&unreadable](const std::string &path, const char *problem) {
        unreadable.push_back(ConfigFault{ConfigFaultKind::File,
                                         path,
                                         0,
                                         {},
                                         {},
                                         problem,
                                         "name a readable file or a directory of *.toml files"});
    };
    for (const std::string &path : paths) {
        std::error_code error;
        const bool isDirectory = std::filesystem::is_directory(path, error);
        const std::vector<std::string> names =
                isDirectory ? tomlFilesOf(path) : std::vector<std::string>{path};
        if (names.empty())
            fault(path, "the directory contains no *.toml file");
        for (const std::string &name : names) {
            const std::optional<std::string> text = readFile(name);
            if (text)
                files.push_back(ObjectFile{name, *text});
            else
                fault(name, "can't be read");
        }
    }
    LoadedObjects result = loadObjects(files);
    result.faults.insert(result.faults.begin(), unreadable.begin(), unreadable.end());
    return result;
}

} // namespace currantwalk
