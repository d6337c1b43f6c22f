#ifndef CURRANTWALK_ROUTING_TARGETPACE_H
#define CURRANTWALK_ROUTING_TARGETPACE_H

#include "routing/targetramps.h"

namespace currantwalk {

/// What one answer has shown of its target's pace.
struct PaceSample
{
    TargetStart start;
    PaceKind kind = PaceKind::Answer;
    Duration time{0};
    /// What the time was spent on: tokens of the prompt, or events.
    double units = 1;
    double load = 0; ///< At the target, in requests.
    double weight = 1;
};

/// All that is known of how fast targets answer: their speeds beside one another, and the ramps of
/// those that have started or recovered.
class TargetPace
{
public:
    struct Options
    {
        TargetSpeeds::Options speeds{};
        TargetRamps::Options ramps{};
    };

    TargetPace(const Options &options, TargetRamps::OnStep onStep)
        : speeds(options.speeds), ramps(options.ramps, std::move(onStep))
    {
    }

    /// Takes what an answer that is no error has shown; \a service are the targets of its service.
    void note(const PaceSample &sample, const std::vector<TargetStart> &service, TimePoint now);

    TargetSpeeds speeds;
    TargetRamps ramps;
};

} // namespace currantwalk

#endif // CURRANTWALK_ROUTING_TARGETPACE_H
