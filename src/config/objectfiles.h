#ifndef CURRANTWALK_CONFIG_OBJECTFILES_H
#define CURRANTWALK_CONFIG_OBJECTFILES_H

#include <string>
#include <utility>
#include <vector>

#include "config/configfault.h"
#include "config/objects.h"

namespace currantwalk {

/// A set read from TOML, and all that is wrong with it, each fault with its file and line.
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

/// Reads and checks a set whose objects are spread over \a files.
LoadedObjects loadObjects(const std::vector<ObjectFile> &files);

/// Does the same for files by path; a directory stands for its *.toml files.
LoadedObjects loadObjectPaths(const std::vector<std::string> &paths);

} // namespace currantwalk

#endif // CURRANTWALK_CONFIG_OBJECTFILES_H
