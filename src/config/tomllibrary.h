#ifndef CURRANTWALK_CONFIG_TOMLLIBRARY_H
#define CURRANTWALK_CONFIG_TOMLLIBRARY_H

// The only header that includes the TOML library. Its inline functions depend on these settings, so
// different settings in one program would violate the one-definition rule. Assertions are disabled
// because they abort on some malformed texts that the library otherwise reports as errors.
#define TOML_ASSERT(expression) static_cast<void>(0)
#define TOML_EXCEPTIONS 0
#include <toml++/toml.h>

#endif // CURRANTWALK_CONFIG_TOMLLIBRARY_H
