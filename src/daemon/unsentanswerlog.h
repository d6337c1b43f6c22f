#ifndef CURRANTWALK_DAEMON_UNSENTANSWERLOG_H
#define CURRANTWALK_DAEMON_UNSENTANSWERLOG_H

#include "net/http.h"
#include "observe/metrics.h"

namespace currantwalk {

/// Tells the log what the end of the process cuts off; nothing where all answers have been sent.
void logUnsentAnswers(const HttpUnsentAnswers &unsent);

/// Sets the gauges of answers that callers have not taken yet.
void setUnsentAnswerGauges(Metrics &metrics, const HttpUnsentAnswers &unsent);

} // namespace currantwalk

#endif // CURRANTWALK_DAEMON_UNSENTANSWERLOG_H
