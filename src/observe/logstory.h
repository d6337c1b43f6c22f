#ifndef CURRANTWALK_OBSERVE_LOGSTORY_H
#define CURRANTWALK_OBSERVE_LOGSTORY_H

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
    std::string source; ///< Tells the VMs apart: what stands before the JSON, else the file's name.
    std::string time;   ///< ISO 8601 in UTC with a fraction; sorts as text.
    LogLevel level = LogLevel::Info;
    LogPart part = LogPart::Daemon;
    std::string message;
    std::string request; ///< Empty where the line is about none.
};

/// Reads one line. A collector may have put a word or two before the JSON. Fails with JsonInvalid,
/// naming the member that does not keep the schema.
absl::StatusOr<LoggedLine> parseLoggedLine(std::string_view line, const std::string &fileName);

/// Lines of several logs.
struct LogSet
{
    struct Fault
    {
        std::string fileName;
        std::size_t line = 0; ///< From 1.
        absl::Status status;
    };

    std::vector<LoggedLine> records;
    std::vector<Fault> faults; ///< Lines that do not keep the schema.

    void read(std::istream &stream, const std::string &fileName);
};

/// What became of one request, by the logs of the VMs that it met.
struct RequestStory
{
    std::vector<LoggedLine> records; ///< About the request and what decided it, in order of time.
    std::string cause;               ///< One sentence.
};

/// Fails with NotFound where no line names \a request.
absl::StatusOr<RequestStory> tellStory(const LogSet &logs, const std::string &request);

} // namespace currantwalk

#endif // CURRANTWALK_OBSERVE_LOGSTORY_H
