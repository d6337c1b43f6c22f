#ifndef CURRANTWALK_OBSERVE_REQUESTEXPLANATION_H
#define CURRANTWALK_OBSERVE_REQUESTEXPLANATION_H

#include <istream>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "observe/logging.h"

namespace currantwalk {

/// One line of a daemon's JSON log.
struct LoggedLine
{
    std::string source; ///< Identifies the VM: the word before the JSON, else the file's name.
    std::string time;   ///< ISO 8601 in UTC with a fraction; sorts as text.
    LogLevel level = LogLevel::Info;
    LogPart part = LogPart::Daemon;
    std::string message;
    std::string request; ///< Empty if the line refers to none.
};

/// Parses one line, which may have a log collector's prefix before the JSON. Fails with
/// JsonInvalid, naming the member that violates the schema.
absl::StatusOr<LoggedLine> parseLoggedLine(std::string_view line, const std::string &fileName);

/// Lines of several logs.
struct LogSet
{
    struct ParseError
    {
        std::string fileName;
        std::size_t line = 0; ///< From 1.
        absl::Status status;
    };

    std::vector<LoggedLine> records;
    std::vector<ParseError> parseErrors; ///< Lines that violate the schema.

    void read(std::istream &stream, const std::string &fileName);
};

/// Explains the outcome of one request from the logs of the VMs that processed it.
struct RequestExplanation
{
    std::vector<LoggedLine> records; ///< The request's lines and their context, by time.
    std::string cause;               ///< One sentence.
};

/// Fails with NotFound if no line refers to \a request.
absl::StatusOr<RequestExplanation> explainRequest(const LogSet &logs, const std::string &request);

} // namespace currantwalk

#endif // CURRANTWALK_OBSERVE_REQUESTEXPLANATION_H
