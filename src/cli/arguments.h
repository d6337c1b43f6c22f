#ifndef CURRANTWALK_CLI_ARGUMENTS_H
#define CURRANTWALK_CLI_ARGUMENTS_H

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/endpoint.h"
#include "base/error.h"
#include "base/timerservice.h"
#include "net/http.h"

namespace currantwalk {

/// What was asked for on the command line.
struct Arguments
{
    std::string command;
    std::vector<std::string> operands; ///< After the command.
    std::vector<Endpoint> nodes;
    std::string keyFile;
    bool isJson = false;
    bool isHelp = false;
    bool isVersion = false;
    Duration timeout = std::chrono::seconds(30);
    std::optional<TlsFiles> tls;
    // Of publish.
    std::optional<std::uint64_t> base;
    std::string author;
    std::string publicationId;
    bool isRecovery = false;
    // Of drain.
    std::optional<Duration> deadline;
};

/// Reads the command line; \a argv[0] is the program. Fails with InvalidRequest or AddressInvalid.
absl::StatusOr<Arguments> parseArguments(int argc, const char **argv);

/// Returns the options that all commands share, as help text.
std::string optionsHelp();

} // namespace currantwalk

#endif // CURRANTWALK_CLI_ARGUMENTS_H
