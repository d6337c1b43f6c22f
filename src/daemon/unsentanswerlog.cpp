#include "daemon/unsentanswerlog.h"

#include "observe/logging.h"

namespace currantwalk {

void logUnsentAnswers(const HttpUnsentAnswers &unsent)
{
    if (unsent.answers == 0)
        return;
    logLine(LogPart::Drain, LogLevel::Warning,
            "The end of the process cuts off answers that their callers have not taken. answers="
                    + std::to_string(unsent.answers) + " bytes=" + std::to_string(unsent.bytes));
}

void setUnsentAnswerGauges(Metrics &metrics, const HttpUnsentAnswers &unsent)
{
    metrics.set("currantwalk_unsent_answers", {}, static_cast<double>(unsent.answers));
    metrics.set("currantwalk_unsent_answer_bytes", {}, static_cast<double>(unsent.bytes));
}

} // namespace currantwalk
