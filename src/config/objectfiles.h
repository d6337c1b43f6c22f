#ifndef CURRANTWALK_CONFIG_OBJECTFILES_H
#define CURRANTWALK_CONFIG_OBJECTFILES_H

#include <string>
#include <utility>
#include <vector>

#include "config/configfault.h"
#include "config/objects.h"

namespace currantwalk {

/// A set read from TOML with all its faults, each with file and line.
struct LoadedObjects
{
    ObjectSet objects;
    std::vector<ConfigFault> faults;
};

/// One file of a set.
struct ObjectFile
{
    std::string path;
    std::string text;
};

/// Parses and validates a set whose objects may be spread over several files.
LoadedObjects loadObjects(const std::vector<ObjectFile> &files);

/// Like loadObjects(), but reads the files; a directory stands for its *.toml files.
LoadedObjects loadObjectPaths(const std::vector<std::string> &paths);

} // namespace currantwalk

#endif // CURRANTWALK_CONFIG_OBJECTFILES_H
