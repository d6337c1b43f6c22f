#ifndef CURRANTWALK_DRAIN_COMPLETIONESTIMATE_H
#define CURRANTWALK_DRAIN_COMPLETIONESTIMATE_H

#include <cstdint>
#include <map>
#include <string>

#include "base/timerservice.h"

namespace currantwalk {

/// How long the requests of each service take, from those that have been answered. Answers load
/// that a process which is about to stop could not finish.
class CompletionEstimate
{
public:
    /// Notes that a request of \a service, whose answer was expected to have \a tokens, took \a
    /// time; \a tokens is 0 for requests without any.
    void onAnswered(const std::string &service, std::uint32_t tokens, Duration time);
    /// Returns the time that such a request is expected to take; zero if none has been answered.
    Duration expectedTime(const std::string &service, std::uint32_t tokens) const;

private:
    std::map<std::string, double> m_microsecondsPerToken; ///< Means, by service.
};

} // namespace currantwalk

#endif // CURRANTWALK_DRAIN_COMPLETIONESTIMATE_H
