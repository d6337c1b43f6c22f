#ifndef CURRANTWALK_LOG_LOGSERVICE_H
#define CURRANTWALK_LOG_LOGSERVICE_H

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/ids.h"

namespace currantwalk {

/// One record of a stream of the platform's log.
struct LogRecord
{
    LogOffset offset = 0;
    std::string data;
};

/// Records read from a stream, in order of offset without gaps.
struct LogPage
{
    LogOffset oldest = 0; ///< Lowest offset still kept.
    LogOffset next = 0;   ///< Offset to read from next.
    LogOffset end = 0;    ///< Offset of the next append, as of this answer.
    std::vector<LogRecord> records;
};

/// Access to the platform's log. Offsets start at 1; 0 means none. Callbacks are never called from
/// within the call.
struct LogHooks
{
    using AppendCallback = std::function<void(absl::StatusOr<std::vector<LogOffset>>)>;
    using ReadCallback = std::function<void(absl::StatusOr<LogPage>)>;

    /// Appends records to a stream atomically and with consecutive offsets. Fails with
    /// LogUnavailable if nothing was appended, or with LogAnswerLost if that is not known.
    std::function<void(const std::string &stream, std::vector<std::string> records,
                       AppendCallback callback)>
            append;
    /// Reads up to \a limit records from \a from on; an offset past the end gives an empty page.
    /// Fails with LogUnavailable, or with LogRecordsExpired if \a from is older than the oldest
    /// kept record.
    std::function<void(const std::string &stream, LogOffset from, std::size_t limit,
                       ReadCallback callback)>
            read;
};

} // namespace currantwalk

#endif // CURRANTWALK_LOG_LOGSERVICE_H
